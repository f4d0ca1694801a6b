/** Messages between gateways. */
@NullMarked
package org.cowslipstair.model.peer;

import org.jspecify.annotations.NullMarked;
