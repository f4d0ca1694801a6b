package org.cowslipstair.runtime.lease;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.cowslipstair.logic.admission.Admission.AdmissionRequest;
import org.cowslipstair.logic.admission.NotAdmittedException;
import org.cowslipstair.logic.broker.BrokerAction;
import org.cowslipstair.logic.invariant.InvariantMonitor;
import org.cowslipstair.logic.lessee.IdleLeases;
import org.cowslipstair.logic.lessee.Lease;
import org.cowslipstair.logic.lessee.LesseeAction;
import org.cowslipstair.logic.lessee.LesseeCore;
import org.cowslipstair.logic.lessee.LesseeSettings;
import org.cowslipstair.logic.membership.BrokerPlacement;
import org.cowslipstair.logic.membership.FleetView;
import org.cowslipstair.model.config.BackendName;
import org.cowslipstair.model.config.BackendServer;
import org.cowslipstair.model.config.ConfigSnapshot;
import org.cowslipstair.model.config.ZoneName;
import org.cowslipstair.model.fleet.GatewayId;
import org.cowslipstair.model.fleet.GatewayName;
import org.cowslipstair.model.fleet.Member;
import org.cowslipstair.model.fleet.MemberState;
import org.cowslipstair.model.peer.LeaseMessage;
import org.cowslipstair.model.peer.LeaseMessage.Acquire;
import org.cowslipstair.model.peer.LeaseMessage.CancelAcquire;
import org.cowslipstair.model.peer.LeaseMessage.Grant;
import org.cowslipstair.model.peer.LeaseMessage.HandOver;
import org.cowslipstair.model.peer.LeaseMessage.Held;
import org.cowslipstair.model.peer.LeaseMessage.HeldRequest;
import org.cowslipstair.model.peer.LeaseMessage.Recall;
import org.cowslipstair.model.peer.LeaseMessage.Refuse;
import org.cowslipstair.model.peer.LeaseMessage.Release;
import org.cowslipstair.model.peer.LeaseMessage.Reuse;
import org.cowslipstair.model.peer.LeaseMessage.Withdraw;
import org.cowslipstair.model.peer.MembershipMessage.PoolFree;
import org.cowslipstair.model.pool.CallReport;
import org.cowslipstair.port.BackendProbe.ProbeReport;
import org.cowslipstair.port.MonotonicClock;

/**
 * Runs the brokers and the lessee of one gateway. Every method is called on the control loop,
 * except those that say otherwise. Messages to the own gateway stay in the process.
 */
public final class LeaseRuntime {
  private static final long OWN_FREE_INTERVAL_NS = 50_000_000L;
  private final GatewayId self;
  private final MonotonicClock clock;
  private final Executor controlLoop;
  private final Ports ports;
  private final BrokerSet brokers;
  private final LesseeCore lessee;
  private final IdleLeases idle = new IdleLeases();
  private final Map<Long, CompletableFuture<Lease>> waiting = new HashMap<>();
  private final Queue<LeaseMessage> toSelf = new ArrayDeque<>();
  private FleetView view;
  private long nextOwnFreeNs;
  private boolean stopping;
  private boolean dispatching;
  private volatile long lastTurnNs;

  /** What the runtime reads and calls. */
  record Ports(
      Supplier<ConfigSnapshot> snapshot,
      BiConsumer<GatewayName, LeaseMessage> send,
      Consumer<BackendServer> requestProbe) {}

  /**
   * Creates the runtime of a gateway that knows no other.
   *
   * @param controlLoop runs tasks in order on one thread
   * @param snapshot configuration in force
   * @param send sends to a peer, and drops the message when it is not connected
   * @param requestProbe starts a probe, whose result comes back by {@link #onProbeReport}
   */
  public LeaseRuntime(
      GatewayId self,
      ZoneName zone,
      MonotonicClock clock,
      Executor controlLoop,
      RandomGenerator random,
      InvariantMonitor monitor,
      Supplier<ConfigSnapshot> snapshot,
      BiConsumer<GatewayName, LeaseMessage> send,
      Consumer<BackendServer> requestProbe) {
    this(
        self,
        zone,
        clock,
        controlLoop,
        random,
        monitor,
        new Ports(snapshot, send, requestProbe),
        LesseeSettings.defaults());
  }

  /** Creates a runtime with other settings of the lessee. */
  LeaseRuntime(
      GatewayId self,
      ZoneName zone,
      MonotonicClock clock,
      Executor controlLoop,
      RandomGenerator random,
      InvariantMonitor monitor,
      Ports ports,
      LesseeSettings settings) {
    this.self = self;
    this.clock = clock;
    this.controlLoop = controlLoop;
    this.ports = ports;
    view = new FleetView(0, self, List.of(), false);
    brokers = new BrokerSet(self, random, monitor);
    lessee = new LesseeCore(zone, settings, idle, view);
    lastTurnNs = clock.nowNs();
    nextOwnFreeNs = lastTurnNs;
  }

  /** Takes a message of a peer. */
  public void onMessage(GatewayId from, LeaseMessage message) {
    deliver(from, message);
    deliverToSelf();
  }

  /** Takes note that a connection to a peer is open. */
  public void onPeerConnected(GatewayId peer) {
    apply(lessee.onConnected(peer, clock.nowNs()));
  }

  /** Takes note that the connection to a peer has ended. */
  public void onPeerDisconnected(GatewayId peer) {
    apply(lessee.onDisconnected(peer, clock.nowNs()));
  }

  /** Takes a new view of the fleet. */
  public void onView(FleetView newView) {
    view = stopping ? withoutOwnTerms(newView) : newView;
    long nowNs = clock.nowNs();
    applyBroker(brokers.onView(view, ports.snapshot().get(), nowNs));
    apply(lessee.onView(view, nowNs));
  }

  /** Takes a new configuration. */
  public void onSnapshot(ConfigSnapshot newSnapshot) {
    long nowNs = clock.nowNs();
    applyBroker(brokers.onSnapshot(newSnapshot, nowNs));
    applyBroker(brokers.onView(view, newSnapshot, nowNs));
    apply(lessee.onSnapshot(newSnapshot, nowNs));
  }

  /** Takes the free slots that a peer reports for the pools that it brokers. */
  public void onFreeSlots(GatewayName from, List<PoolFree> pools) {
    for (PoolFree row : pools) {
      Optional<Member> broker = BrokerPlacement.brokerOf(row.pool(), view);
      if (broker.isPresent() && broker.get().id().name().equals(from)) {
        brokers.onFree(row.pool(), row.free());
        lessee.onFree(row.pool(), row.free());
      }
    }
  }

  /** Takes the result of a probe; empty if there was no answer. */
  public void onProbeReport(BackendName backend, Optional<ProbeReport> report) {
    applyBroker(brokers.onProbe(backend, report, clock.nowNs()));
  }

  /** Does what is due. Called every few milliseconds. */
  public void tick(long nowNs) {
    lastTurnNs = nowNs;
    if (nowNs >= nextOwnFreeNs) {
      nextOwnFreeNs = nowNs + OWN_FREE_INTERVAL_NS;
      brokers.freeSlots().forEach(own -> brokers.onFree(own.pool(), own.free()));
    }
    applyBroker(brokers.tick(nowNs));
    apply(lessee.tick(nowNs));
  }

  /** Starts over after a pause of the process, before anything else is done. */
  public void afterPause() {
    long nowNs = clock.nowNs();
    lastTurnNs = nowNs;
    apply(lessee.afterPause(nowNs));
    applyBroker(brokers.afterPause(view, nowNs));
  }

  /** Hands the table of every pool to its successor, and takes no broker role any more. */
  public void prepareStop() {
    stopping = true;
    onView(view);
  }

  private FleetView withoutOwnTerms(FleetView whole) {
    List<Member> members = new ArrayList<>();
    for (Member member : whole.members()) {
      boolean own = member.id().equals(self);
      members.add(
          own
              ? new Member(member.id(), member.zone(), member.peerAddress(), MemberState.LEAVING)
              : member);
    }
    return new FleetView(whole.number(), whole.self(), members, whole.isolated());
  }

  /** Returns the free slots of the pools that this gateway brokers, for heartbeats. */
  public List<PoolFree> freeSlots() {
    return brokers.freeSlots();
  }

  /** Returns what the brokers and the lessee know, for state dumps. */
  public LeaseStatus status() {
    return new LeaseStatus(brokers.status(), lessee.status(clock.nowNs()));
  }

  /** Returns the idle leases; any thread may use them. */
  IdleLeases idle() {
    return idle;
  }

  /** Returns the time of the last turn of the control loop; any thread may ask. */
  long lastTurnNs() {
    return lastTurnNs;
  }

  /** Looks for a slot; the future gets a lease or a {@link NotAdmittedException}. Any thread. */
  void admit(long callId, AdmissionRequest request, CompletableFuture<Lease> answer) {
    controlLoop.execute(
        () -> {
          waiting.put(callId, answer);
          apply(lessee.admit(callId, request, clock.nowNs()));
        });
  }

  /** Gives up a call; a lease that it got meanwhile goes back unused. Any thread. */
  void cancel(long callId, CompletableFuture<Lease> answer) {
    controlLoop.execute(
        () -> {
          if (waiting.remove(callId) != null) {
            apply(lessee.cancel(callId));
            return;
          }
          if (!answer.isCompletedExceptionally()) {
            apply(lessee.released(answer.join(), CallReport.unused(), clock.nowNs()));
          }
        });
  }

  /** Reports that an idle lease serves another call. Any thread. */
  void reused(Lease lease) {
    CallReport lastCall = lease.lastReport();
    controlLoop.execute(() -> apply(lessee.reused(lease, lastCall, clock.nowNs())));
  }

  /** Gives a lease back. Any thread. */
  void release(Lease lease, CallReport report) {
    controlLoop.execute(() -> apply(lessee.released(lease, report, clock.nowNs())));
  }

  private void apply(List<LesseeAction> actions) {
    for (LesseeAction action : actions) {
      switch (action) {
        case LesseeAction.Send(GatewayId to, LeaseMessage message) -> dispatch(to, message);
        case LesseeAction.Admitted(long callId, Lease lease) -> admitted(callId, lease);
        case LesseeAction.NotAdmitted(long callId, var reason) -> {
          CompletableFuture<Lease> answer = waiting.remove(callId);
          if (answer != null) {
            answer.completeExceptionally(new NotAdmittedException(reason));
          }
        }
      }
    }
    deliverToSelf();
  }

  private void admitted(long callId, Lease lease) {
    CompletableFuture<Lease> answer = waiting.remove(callId);
    if (answer == null) {
      apply(lessee.released(lease, CallReport.unused(), clock.nowNs()));
      return;
    }
    answer.complete(lease);
  }

  private void applyBroker(List<BrokerAction> actions) {
    for (BrokerAction action : actions) {
      switch (action) {
        case BrokerAction.Send(GatewayId to, LeaseMessage message) -> dispatch(to, message);
        case BrokerAction.Probe(BackendName backend) ->
            ports.snapshot().get().backend(backend).ifPresent(ports.requestProbe());
      }
    }
    deliverToSelf();
  }

  private void dispatch(GatewayId to, LeaseMessage message) {
    if (to.equals(self)) {
      toSelf.add(message);
      return;
    }
    ports.send().accept(to.name(), message);
  }

  private void deliverToSelf() {
    if (dispatching) {
      return;
    }
    dispatching = true;
    try {
      while (!toSelf.isEmpty()) {
        deliver(self, toSelf.remove());
      }
    } finally {
      dispatching = false;
    }
  }

  private void deliver(GatewayId from, LeaseMessage message) {
    long nowNs = clock.nowNs();
    switch (message) {
      case Acquire _, CancelAcquire _, Release _, Reuse _, Held _, HandOver _ ->
          applyBroker(brokers.onMessage(from, message, ports.snapshot().get(), nowNs));
      case Grant _, Refuse _, Recall _, Withdraw _, HeldRequest _ ->
          apply(lessee.onMessage(from, message, nowNs));
    }
  }
}
