/** Which backend server a request goes to. */
@NullMarked
package org.cowslipstair.logic.placement;

import org.jspecify.annotations.NullMarked;
