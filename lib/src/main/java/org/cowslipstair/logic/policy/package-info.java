/** Policies without a broker, which choose a backend server by what one gateway knows itself. */
@NullMarked
package org.cowslipstair.logic.policy;

import org.jspecify.annotations.NullMarked;
