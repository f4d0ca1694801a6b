/** Ensures across all gateways that a call runs at most once per idempotency key. */
@NullMarked
package org.cowslipstair.logic.idempotency;

import org.jspecify.annotations.NullMarked;
