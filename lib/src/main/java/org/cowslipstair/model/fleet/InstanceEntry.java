package org.cowslipstair.model.fleet;

import org.cowslipstair.model.config.HostPort;
import org.cowslipstair.model.config.ZoneName;

/** An entry of the platform's lagging list of instances. */
public record InstanceEntry(
    GatewayName name,
    ZoneName zone,
    HostPort peerAddress,
    HostPort adminAddress,
    boolean leaving) {}
