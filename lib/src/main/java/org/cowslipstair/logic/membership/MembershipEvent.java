package org.cowslipstair.logic.membership;

import org.cowslipstair.model.config.HostPort;
import org.cowslipstair.model.fleet.GatewayId;
import org.cowslipstair.model.fleet.GatewayName;

/** What an operator, or another part of the gateway, should know about the fleet. */
public sealed interface MembershipEvent {
  /** A peer joined, or came back after it was thought dead. */
  record Joined(GatewayId peer) implements MembershipEvent {}

  /** A peer announced a planned stop. */
  record Leaving(GatewayId peer) implements MembershipEvent {}

  /** A peer ended its planned stop. */
  record Left(GatewayId peer) implements MembershipEvent {}

  /** A peer is thought dead. */
  record Died(GatewayId peer, DeathReason reason) implements MembershipEvent {}

  /** A newer process took the place of an older one of the same name. */
  record Restarted(GatewayId previous, GatewayId current) implements MembershipEvent {}

  /** A message of an older process was refused. */
  record StaleIncarnation(GatewayId refused, GatewayId current) implements MembershipEvent {}

  /** A heartbeat that is not newer than the last one was refused. */
  record StaleSequence(GatewayId peer, long refused, long current) implements MembershipEvent {}

  /** A heartbeat names another sender than the connection that it came on. */
  record ForeignHeartbeat(GatewayId connection, GatewayId sender) implements MembershipEvent {}

  /** Two running processes have one name. */
  record NameConflict(GatewayName name, HostPort first, HostPort second)
      implements MembershipEvent {}

  /** This process is the older one of two that have its name; it takes no new work. */
  record Superseded(GatewayId by, HostPort address) implements MembershipEvent {}

  /** This process did not run for a while; it must drop what others may have taken over. */
  record Paused(long gapNs) implements MembershipEvent {}

  /** This gateway has neither the store nor a majority, so that it may miss configuration. */
  record Isolated(int reachable, int known) implements MembershipEvent {}

  /** The isolation is over. */
  record Rejoined(int reachable, int known) implements MembershipEvent {}

  /** Why a peer is thought dead. */
  enum DeathReason {
    SILENT,
    CONNECTION_CLOSED
  }
}
