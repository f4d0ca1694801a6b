/** Seeded faults. */
@NullMarked
package org.cowslipstair.soak.fault;

import org.jspecify.annotations.NullMarked;
