/**
 * Fault soak: runs the real daemons under seeded faults and checks what callers and backend servers
 * observe.
 */
@NullMarked
package org.cowslipstair.soak;

import org.jspecify.annotations.NullMarked;
