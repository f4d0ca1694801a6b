/** Generates faults from a seed and injects them. */
@NullMarked
package org.cowslipstair.soak.fault;

import org.jspecify.annotations.NullMarked;
