package org.cowslipstair.logic.membership;

import java.util.Set;
import org.cowslipstair.model.fleet.GatewayName;
import org.cowslipstair.model.fleet.InstanceEntry;
import org.cowslipstair.model.peer.MembershipMessage;

/** An action that {@link MembershipCore} requests from its caller. */
public sealed interface MembershipAction {
  /** Sends a message to a peer. */
  record Send(GatewayName to, MembershipMessage message) implements MembershipAction {}

  /** Replaces the set of peers to keep connections with. */
  record Connect(Set<InstanceEntry> peers) implements MembershipAction {
    /** Copies the set. */
    public Connect {
      peers = Set.copyOf(peers);
    }
  }

  /** Replaces the view of the fleet. */
  record Publish(FleetView view) implements MembershipAction {}

  /** Reports an event. */
  record Report(MembershipEvent event) implements MembershipAction {}
}
