/** Connections between gateways: TCP, MessagePack frames, authenticated by a shared key. */
@NullMarked
package org.cowslipstair.adapters.peer;

import org.jspecify.annotations.NullMarked;
