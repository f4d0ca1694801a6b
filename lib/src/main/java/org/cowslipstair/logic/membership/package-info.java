/** Decides which gateways are live, and which of them is the broker of each pool. */
@NullMarked
package org.cowslipstair.logic.membership;

import org.jspecify.annotations.NullMarked;
