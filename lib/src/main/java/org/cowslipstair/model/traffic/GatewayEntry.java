package org.cowslipstair.model.traffic;

import org.cowslipstair.model.config.HostPort;
import org.cowslipstair.model.config.ZoneName;

/**
 * A gateway that announced itself.
 *
 * @param relayAddress address at which it passes on the state of the store
 */
public record GatewayEntry(String name, ZoneName zone, HostPort relayAddress) {}
