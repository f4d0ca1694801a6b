/** Decisions of a gateway that is being stopped as planned. */
@NullMarked
package org.cowslipstair.logic.stop;

import org.jspecify.annotations.NullMarked;
