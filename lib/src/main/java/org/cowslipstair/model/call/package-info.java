/** Header fields of calls, and reasons why calls fail. */
@NullMarked
package org.cowslipstair.model.call;

import org.jspecify.annotations.NullMarked;
