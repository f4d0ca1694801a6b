package org.cowslipstair.model.fleet;

import org.cowslipstair.model.config.HostPort;
import org.cowslipstair.model.config.ZoneName;

/** A gateway in the fleet, as reported to its peers. */
public record Member(GatewayId id, ZoneName zone, HostPort peerAddress, MemberState state) {}
