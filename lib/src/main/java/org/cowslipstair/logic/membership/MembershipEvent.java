package org.cowslipstair.logic.membership;

import org.cowslipstair.model.config.HostPort;
import org.cowslipstair.model.fleet.GatewayId;
import org.cowslipstair.model.fleet.GatewayName;

/** An event in the fleet, for operators and for other parts of the gateway. */
public sealed interface MembershipEvent {
  /** A peer joined, or rejoined after it was considered dead. */
  record Joined(GatewayId peer) implements MembershipEvent {}

  /** A peer announced a planned stop. */
  record Leaving(GatewayId peer) implements MembershipEvent {}

  /** A peer completed its planned stop. */
  record Left(GatewayId peer) implements MembershipEvent {}

  /** A peer is considered dead. */
  record Died(GatewayId peer, DeathReason reason) implements MembershipEvent {}

  /** A newer process replaced an older one with the same name. */
  record Restarted(GatewayId previous, GatewayId current) implements MembershipEvent {}

  /** A connection or heartbeat of an older process was rejected. */
  record StaleIncarnation(GatewayId refused, GatewayId current) implements MembershipEvent {}

  /** A heartbeat that is not newer than the last one was rejected. */
  record StaleSequence(GatewayId peer, long refused, long current) implements MembershipEvent {}

  /** The sender of a heartbeat is not the peer of the connection that it arrived on. */
  record ForeignHeartbeat(GatewayId connection, GatewayId sender) implements MembershipEvent {}

  /** Two running processes have the same name. */
  record NameConflict(GatewayName name, HostPort first, HostPort second)
      implements MembershipEvent {}

  /** A newer process has the name of this one; this process refuses new work. */
  record Superseded(GatewayId by, HostPort address) implements MembershipEvent {}

  /** This process was paused; it must drop state that other gateways may have taken over. */
  record Paused(long gapNs) implements MembershipEvent {}

  /** This gateway reaches neither the store nor a majority, so it may miss configuration. */
  record Isolated(int reachable, int known) implements MembershipEvent {}

  /** This gateway is no longer isolated. */
  record Rejoined(int reachable, int known) implements MembershipEvent {}

  /** Why a peer is considered dead. */
  enum DeathReason {
    SILENT,
    CONNECTION_CLOSED
  }
}
