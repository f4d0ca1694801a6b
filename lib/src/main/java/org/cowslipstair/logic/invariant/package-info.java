/** Checks that stay on while the program runs. */
@NullMarked
package org.cowslipstair.logic.invariant;

import org.jspecify.annotations.NullMarked;
