/** Calls, their outcomes, and the headers that carry them. */
@NullMarked
package org.cowslipstair.model.call;

import org.jspecify.annotations.NullMarked;
