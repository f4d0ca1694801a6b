/** Connects the decisions on membership to the connections between gateways. */
@NullMarked
package org.cowslipstair.runtime.membership;

import org.jspecify.annotations.NullMarked;
