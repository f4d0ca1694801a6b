package org.cowslipstair.runtime.membership;

import io.reactivex.rxjava3.disposables.Disposable;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicReference;
import org.cowslipstair.logic.membership.FleetView;
import org.cowslipstair.logic.membership.MembershipAction;
import org.cowslipstair.logic.membership.MembershipCore;
import org.cowslipstair.logic.membership.MembershipEvent;
import org.cowslipstair.model.fleet.GatewayId;
import org.cowslipstair.model.fleet.InstanceEntry;
import org.cowslipstair.model.fleet.Member;
import org.cowslipstair.model.peer.ConfigMessage;
import org.cowslipstair.model.peer.LeaseMessage;
import org.cowslipstair.model.peer.MembershipMessage;
import org.cowslipstair.model.peer.MembershipMessage.Heartbeat;
import org.cowslipstair.model.peer.MembershipMessage.PoolFreeSlots;
import org.cowslipstair.model.peer.PeerMessage;
import org.cowslipstair.port.MonotonicClock;
import org.cowslipstair.port.PeerTransport;
import org.cowslipstair.port.PeerTransport.PeerEvent;
import org.cowslipstair.runtime.config.ConfigRuntime;
import org.jboss.logging.Logger;

/** Executes the decisions of {@link MembershipCore}, and routes messages to their receivers. */
public final class MembershipRuntime implements AutoCloseable {
  private static final Logger LOG = Logger.getLogger(MembershipRuntime.class);

  private final MembershipCore core;
  private final ConfigRuntime config;
  private final PeerTransport transport;
  private final Executor controlLoop;
  private final MonotonicClock clock;
  private final FleetListener listener;
  private final AtomicReference<FleetView> view;
  private volatile boolean needsStoreConfirmation;
  private Disposable subscription = Disposable.disposed();

  /** Creates a runtime; {@link #start} connects it. */
  public MembershipRuntime(
      MembershipCore core,
      ConfigRuntime config,
      PeerTransport transport,
      Executor controlLoop,
      MonotonicClock clock,
      FleetListener listener) {
    this.core = core;
    this.config = config;
    this.transport = transport;
    this.controlLoop = controlLoop;
    this.clock = clock;
    this.listener = listener;
    this.view = new AtomicReference<>(core.view());
  }

  /** Subscribes to the events of the transport. */
  public void start() {
    subscription =
        transport.events().subscribe(event -> controlLoop.execute(() -> onPeerEvent(event)));
  }

  /** Returns the current view; may be called on any thread. */
  public FleetView view() {
    return view.get();
  }

  /**
   * Returns whether the store must confirm the configuration in force; may be called on any thread.
   */
  public boolean needsStoreConfirmation() {
    return needsStoreConfirmation;
  }

  /** Handles the platform's list of gateways, or the seeds; may be called on any thread. */
  public void onInstanceList(List<InstanceEntry> entries) {
    controlLoop.execute(() -> apply(core.onInstances(entries, clock.nowNs())));
  }

  /** Handles a confirmation of the configuration by the store; call on the control loop. */
  public void onStoreContact() {
    apply(core.onStoreConfirmation(clock.nowNs()));
  }

  /** Announces a planned stop; call on the control loop. */
  public void leave() {
    apply(core.leave(clock.nowNs()));
  }

  /** Executes the actions that are due; call on the control loop every few milliseconds. */
  public void tick(long nowNs, List<PoolFreeSlots> freeSlots) {
    apply(core.setStatus(config.versionInForce(), freeSlots, nowNs));
    apply(core.tick(nowNs));
    config.tick(nowNs);
  }

  private void onPeerEvent(PeerEvent event) {
    switch (event) {
      case PeerEvent.Connected(GatewayId peer) -> {
        apply(core.onConnected(peer, clock.nowNs()));
        listener.onConnected(peer);
      }
      case PeerEvent.Disconnected(GatewayId peer) -> {
        apply(core.onDisconnected(peer, clock.nowNs()));
        config.onPeerDisconnected(peer.name());
        listener.onDisconnected(peer);
      }
      case PeerEvent.Received(GatewayId from, PeerMessage message) -> onMessage(from, message);
      case PeerTransport.PeerEvent.DuplicateName(Member other) ->
          apply(core.onDuplicateName(other, clock.nowNs()));
    }
  }

  private void onMessage(GatewayId from, PeerMessage message) {
    switch (message) {
      case Heartbeat heartbeat -> {
        apply(core.onMessage(from, heartbeat, clock.nowNs()));
        config.onPeerVersion(from.name(), heartbeat.config());
        listener.onHeartbeat(from, heartbeat);
      }
      case MembershipMessage membership -> apply(core.onMessage(from, membership, clock.nowNs()));
      case ConfigMessage configMessage -> {
        apply(core.onPeerActivity(from, clock.nowNs()));
        config.onMessage(from.name(), configMessage);
      }
      case LeaseMessage lease -> {
        apply(core.onPeerActivity(from, clock.nowNs()));
        listener.onLeaseMessage(from, lease);
      }
    }
  }

  private void apply(List<MembershipAction> actions) {
    needsStoreConfirmation = core.needsStoreConfirmation();
    for (MembershipAction action : actions) {
      switch (action) {
        case MembershipAction.Send send -> transport.send(send.to(), send.message());
        case MembershipAction.Connect connect -> transport.connectTo(connect.peers());
        case MembershipAction.Publish publish -> {
          view.set(publish.view());
          listener.onFleetView(publish.view());
        }
        case MembershipAction.Report report -> {
          log(report.event());
          listener.onMembershipEvent(report.event());
        }
      }
    }
  }

  private static void log(MembershipEvent event) {
    switch (event) {
      case MembershipEvent.Joined joined -> LOG.infof("membership: %s joined", joined.peer());
      case MembershipEvent.Leaving leaving ->
          LOG.infof("membership: %s is leaving", leaving.peer());
      case MembershipEvent.Left left -> LOG.infof("membership: %s left", left.peer());
      case MembershipEvent.Died died ->
          LOG.warnf("membership: %s died: %s", died.peer(), died.reason());
      case MembershipEvent.Restarted restarted ->
          LOG.infof("membership: %s replaced %s", restarted.current(), restarted.previous());
      case MembershipEvent.StaleIncarnation stale ->
          LOG.debugf(
              "membership: refused message from %s, which is older than %s",
              stale.refused(), stale.current());
      case MembershipEvent.StaleSequence stale ->
          LOG.debugf(
              "membership: refused heartbeat of %s with old sequence number %d",
              stale.peer(), stale.refused());
      case MembershipEvent.ForeignHeartbeat foreign ->
          LOG.warnf(
              "membership: %s sent a heartbeat with the identity of %s",
              foreign.connection(), foreign.sender());
      case MembershipEvent.NameConflict conflict ->
          LOG.errorf(
              "membership: two gateways are named \"%s\": %s and %s",
              conflict.name(), conflict.first(), conflict.second());
      case MembershipEvent.Superseded superseded ->
          LOG.errorf("membership: this gateway is superseded by %s", superseded.by());
      case MembershipEvent.Paused paused ->
          LOG.warnf("membership: this process was paused for %d ms", paused.gapNs() / 1_000_000);
      case MembershipEvent.Isolated isolated ->
          LOG.errorf(
              "membership: isolated, %d of %d gateways reachable and no contact with the store",
              isolated.reachable(), isolated.known());
      case MembershipEvent.Rejoined rejoined ->
          LOG.infof(
              "membership: no longer isolated, %d of %d gateways reachable",
              rejoined.reachable(), rejoined.known());
    }
  }

  @Override
  public void close() {
    subscription.dispose();
  }
}
