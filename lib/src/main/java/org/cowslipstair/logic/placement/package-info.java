/** Selection of a backend server for a request. */
@NullMarked
package org.cowslipstair.logic.placement;

import org.jspecify.annotations.NullMarked;
