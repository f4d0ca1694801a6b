/** Which gateways are live, and which of them brokers which pool. */
@NullMarked
package org.cowslipstair.logic.membership;

import org.jspecify.annotations.NullMarked;
