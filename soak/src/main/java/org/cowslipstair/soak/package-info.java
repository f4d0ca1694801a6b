/** Fault soak: the real daemons under seeded faults, and what callers and backend servers saw. */
@NullMarked
package org.cowslipstair.soak;

import org.jspecify.annotations.NullMarked;
