/** Lets calls run at most once for one idempotency key, across all gateways. */
@NullMarked
package org.cowslipstair.logic.attempt;

import org.jspecify.annotations.NullMarked;
