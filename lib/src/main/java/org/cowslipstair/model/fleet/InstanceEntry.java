package org.cowslipstair.model.fleet;

import org.cowslipstair.model.config.HostPort;
import org.cowslipstair.model.config.ZoneName;

/** An entry in the platform's list of gateway instances, which may be out of date. */
public record InstanceEntry(
    GatewayName name,
    ZoneName zone,
    HostPort peerAddress,
    HostPort adminAddress,
    boolean leaving) {}
