/** Relays the state of the store from gateways that watch it to those that do not. */
@NullMarked
package org.cowslipstair.edge.relay;

import org.jspecify.annotations.NullMarked;
