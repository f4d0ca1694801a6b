/** Selects the gateways that watch the store on behalf of the others. */
@NullMarked
package org.cowslipstair.logic.relay;

import org.jspecify.annotations.NullMarked;
