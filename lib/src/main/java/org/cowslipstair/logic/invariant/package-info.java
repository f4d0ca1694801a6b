/** Checks of invariants at run time. */
@NullMarked
package org.cowslipstair.logic.invariant;

import org.jspecify.annotations.NullMarked;
