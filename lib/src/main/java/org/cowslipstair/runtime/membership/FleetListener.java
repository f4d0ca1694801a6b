package org.cowslipstair.runtime.membership;

import org.cowslipstair.logic.membership.FleetView;
import org.cowslipstair.logic.membership.MembershipEvent;
import org.cowslipstair.model.fleet.GatewayId;
import org.cowslipstair.model.peer.LeaseMessage;
import org.cowslipstair.model.peer.MembershipMessage.Heartbeat;

/** Receives the events of the fleet. Called on the control loop. */
public interface FleetListener {
  /** Called with each new view of the fleet. */
  void onFleetView(FleetView view);

  /** Called on a membership event, such as a pause of this process. */
  void onMembershipEvent(MembershipEvent event);

  /** Called when a connection to a peer has opened; messages reach it from now on. */
  void onConnected(GatewayId peer);

  /** Called when a connection to a peer has closed; messages in transit may be lost. */
  void onDisconnected(GatewayId peer);

  /** Called with each heartbeat, which carries the free slots of the sender's pools. */
  void onHeartbeat(GatewayId from, Heartbeat heartbeat);

  /** Called with each message between broker and lessee. */
  void onLeaseMessage(GatewayId from, LeaseMessage message);
}
