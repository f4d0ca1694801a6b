package org.cowslipstair.model.traffic;

import org.cowslipstair.model.config.HostPort;
import org.cowslipstair.model.config.ZoneName;

/**
 * A gateway that announced itself in the store.
 *
 * @param relayAddress address of the relay, which provides the store state to other gateways
 */
public record GatewayEntry(String name, ZoneName zone, HostPort relayAddress) {}
