package org.cowslipstair.runtime;

import org.cowslipstair.logic.membership.FleetView;
import org.cowslipstair.logic.membership.MembershipEvent;
import org.cowslipstair.model.config.ConfigSnapshot;
import org.cowslipstair.model.fleet.GatewayId;
import org.cowslipstair.model.fleet.GatewayName;
import org.cowslipstair.model.fleet.Member;
import org.cowslipstair.model.peer.ConfigMessage;
import org.cowslipstair.model.peer.LeaseMessage;
import org.cowslipstair.model.peer.MembershipMessage.Heartbeat;
import org.cowslipstair.runtime.config.ConfigRuntime;
import org.cowslipstair.runtime.membership.FleetListener;

/** Forwards the events of each part of a gateway to the others. Called on the control loop. */
final class GatewayEventRouter implements ConfigRuntime.Listener, FleetListener {
  private final GatewayRuntime gateway;

  GatewayEventRouter(GatewayRuntime gateway) {
    this.gateway = gateway;
  }

  @Override
  public void send(GatewayName to, ConfigMessage message) {
    gateway.ports().peers().send(to, message);
  }

  @Override
  public void broadcast(ConfigMessage message) {
    FleetView view = gateway.membership().view();
    for (Member member : view.members()) {
      if (!member.id().equals(view.self())) {
        send(member.id().name(), message);
      }
    }
  }

  @Override
  public void onConfigInForce(ConfigSnapshot snapshot) {
    gateway.leases().onSnapshot(snapshot);
  }

  @Override
  public void onStoreConfirmation() {
    gateway.membership().onStoreContact();
  }

  @Override
  public void onFleetView(FleetView view) {
    gateway.leases().onView(view);
  }

  @Override
  public void onMembershipEvent(MembershipEvent event) {
    if (event instanceof MembershipEvent.Paused) {
      gateway.leases().afterPause();
    }
  }

  @Override
  public void onConnected(GatewayId peer) {
    gateway.leases().onPeerConnected(peer);
  }

  @Override
  public void onDisconnected(GatewayId peer) {
    gateway.leases().onPeerDisconnected(peer);
  }

  @Override
  public void onHeartbeat(GatewayId from, Heartbeat heartbeat) {
    gateway.leases().onFreeSlots(from.name(), heartbeat.freeSlots());
  }

  @Override
  public void onLeaseMessage(GatewayId from, LeaseMessage message) {
    gateway.leases().onMessage(from, message);
  }
}
