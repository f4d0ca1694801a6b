package org.cowslipstair.model.fleet;

import org.cowslipstair.model.config.HostPort;
import org.cowslipstair.model.config.ZoneName;

/** A gateway as its peers know it. */
public record Member(GatewayId id, ZoneName zone, HostPort peerAddress, MemberState state) {}
