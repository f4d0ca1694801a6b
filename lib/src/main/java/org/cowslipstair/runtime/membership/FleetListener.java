package org.cowslipstair.runtime.membership;

import org.cowslipstair.logic.membership.FleetView;
import org.cowslipstair.logic.membership.MembershipEvent;
import org.cowslipstair.model.fleet.GatewayId;
import org.cowslipstair.model.peer.LeaseMessage;
import org.cowslipstair.model.peer.MembershipMessage.Heartbeat;

/** Receives what happens in the fleet; called on the control loop. */
public interface FleetListener {
  /** Takes a new view of the fleet. */
  void onView(FleetView view);

  /** Takes an event, such as that this process was paused. */
  void onEvent(MembershipEvent event);

  /** Takes the news that messages reach a peer from now on. */
  void onConnected(GatewayId peer);

  /** Takes the news that a connection ended; messages on their way may be lost. */
  void onDisconnected(GatewayId peer);

  /** Takes a heartbeat, for the free slots in it. */
  void onHeartbeat(GatewayId from, Heartbeat heartbeat);

  /** Takes a message between broker and lessee. */
  void onLeaseMessage(GatewayId from, LeaseMessage message);
}
