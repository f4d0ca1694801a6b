package org.cowslipstair.adapters.peer;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.cowslipstair.logic.config.ConfigBatch;
import org.cowslipstair.logic.config.ConfigCore;
import org.cowslipstair.logic.config.ConfigSettings;
import org.cowslipstair.logic.invariant.InvariantMonitor;
import org.cowslipstair.logic.membership.FleetView;
import org.cowslipstair.logic.membership.MembershipCore;
import org.cowslipstair.logic.membership.MembershipEvent;
import org.cowslipstair.logic.membership.MembershipSettings;
import org.cowslipstair.model.config.ConfigSnapshot;
import org.cowslipstair.model.config.HostPort;
import org.cowslipstair.model.config.Labels;
import org.cowslipstair.model.config.ServiceName;
import org.cowslipstair.model.config.Zone;
import org.cowslipstair.model.config.ZoneName;
import org.cowslipstair.model.fleet.GatewayId;
import org.cowslipstair.model.fleet.GatewayName;
import org.cowslipstair.model.fleet.InstanceEntry;
import org.cowslipstair.model.peer.ConfigMessage;
import org.cowslipstair.model.peer.LeaseMessage;
import org.cowslipstair.model.peer.MembershipMessage.Heartbeat;
import org.cowslipstair.model.peer.MembershipMessage.PoolFreeSlots;
import org.cowslipstair.model.pool.PoolId;
import org.cowslipstair.port.MonotonicClock;
import org.cowslipstair.runtime.ControlLoop;
import org.cowslipstair.runtime.config.ConfigRuntime;
import org.cowslipstair.runtime.membership.FleetListener;
import org.cowslipstair.runtime.membership.MembershipRuntime;

/** The part of a gateway that keeps membership and configuration with its peers. */
final class PeeringGateway implements FleetListener, ConfigRuntime.Listener {
  final TcpPeerTransport transport;
  final ConfigRuntime config;
  final MembershipRuntime membership;
  final ControlLoop loop = new ControlLoop("control", MonotonicClock.system());

  PeeringGateway(String name, long incarnation) throws Exception {
    byte[] key = "a key for the measurement".getBytes(StandardCharsets.UTF_8);
    transport =
        TcpPeerTransport.open(
            PeerTransportSettings.of(new HostPort("127.0.0.1", 0), key),
            address -> TcpPeerTransportTest.member(name, incarnation, address),
            MonotonicClock.system());
    InvariantMonitor monitor = InvariantMonitor.failing();
    ConfigCore configCore =
        new ConfigCore(
            ConfigSettings.defaults(),
            stored ->
                new Zone(
                    new ZoneName(stored.key().name()),
                    Labels.empty().with(Labels.STATE, stored.json())),
            monitor);
    config = new ConfigRuntime(configCore, loop, MonotonicClock.system(), this);
    MembershipCore core =
        new MembershipCore(
            MembershipSettings.defaults(), transport.self(), monitor, System.nanoTime());
    membership =
        new MembershipRuntime(core, config, transport, loop, MonotonicClock.system(), this);
  }

  void takeStore(ConfigBatch batch) throws Exception {
    config.onStoreBatch(batch, config.versionInForce()).get();
  }

  void start(List<InstanceEntry> fleet, long tickMs) {
    List<PoolFreeSlots> freeSlots =
        List.of(
            new PoolFreeSlots(new PoolId(new ServiceName("watch"), new ZoneName("zone-a")), 20),
            new PoolFreeSlots(new PoolId(new ServiceName("vault"), new ZoneName("zone-b")), 14));
    membership.start();
    membership.onInstanceList(fleet);
    loop.schedulePeriodically(tickMs, nowNs -> membership.tick(nowNs, freeSlots));
  }

  int size() {
    return membership.view().members().size();
  }

  void close() {
    membership.close();
    transport.close();
    loop.close();
  }

  @Override
  public void send(GatewayName to, ConfigMessage message) {
    transport.send(to, message);
  }

  @Override
  public void broadcast(ConfigMessage message) {
    membership.view().members().forEach(member -> send(member.id().name(), message));
  }

  @Override
  public void onConfigInForce(ConfigSnapshot snapshot) {}

  @Override
  public void onStoreConfirmation() {}

  @Override
  public void onFleetView(FleetView view) {}

  @Override
  public void onMembershipEvent(MembershipEvent event) {}

  @Override
  public void onConnected(GatewayId peer) {}

  @Override
  public void onDisconnected(GatewayId peer) {}

  @Override
  public void onHeartbeat(GatewayId from, Heartbeat heartbeat) {}

  @Override
  public void onLeaseMessage(GatewayId from, LeaseMessage message) {}
}
