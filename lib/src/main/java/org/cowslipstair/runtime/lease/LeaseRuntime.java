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
import org.cowslipstair.model.peer.LeaseMessage.HeldLeases;
import org.cowslipstair.model.peer.LeaseMessage.HeldLeasesRequest;
import org.cowslipstair.model.peer.LeaseMessage.Recall;
import org.cowslipstair.model.peer.LeaseMessage.Refuse;
import org.cowslipstair.model.peer.LeaseMessage.Release;
import org.cowslipstair.model.peer.LeaseMessage.Reuse;
import org.cowslipstair.model.peer.LeaseMessage.Withdraw;
import org.cowslipstair.model.peer.MembershipMessage.PoolFreeSlots;
import org.cowslipstair.model.pool.CallReport;
import org.cowslipstair.port.BackendProbe.ProbeReport;
import org.cowslipstair.port.MonotonicClock;

/**
 * Runs the brokers and the lessee of one gateway. Methods must be called on the control loop unless
 * documented otherwise. Messages to this gateway itself are delivered within the process.
 */
public final class LeaseRuntime {
  private static final long OWN_FREE_SLOTS_INTERVAL_NS = 50_000_000L;
  private final GatewayId self;
  private final MonotonicClock clock;
  private final Executor controlLoop;
  private final Ports ports;
  private final BrokerSet brokers;
  private final LesseeCore lessee;
  private final IdleLeases idle = new IdleLeases();
  private final Map<Long, CompletableFuture<Lease>> pendingAdmissions = new HashMap<>();
  private final Queue<LeaseMessage> messagesToSelf = new ArrayDeque<>();
  private FleetView view;
  private long nextOwnFreeSlotsNs;
  private boolean isStopping;
  private boolean isDeliveringToSelf;
  private volatile long lastTickNs;

  /** External dependencies of the runtime. */
  record Ports(
      Supplier<ConfigSnapshot> snapshot,
      BiConsumer<GatewayName, LeaseMessage> send,
      Consumer<BackendServer> requestProbe) {}

  /**
   * Creates the runtime of a gateway that has no peers yet.
   *
   * @param controlLoop runs tasks in order of submission on one thread
   * @param snapshot configuration in force
   * @param send sends a message to a peer; drops it if the peer is not connected
   * @param requestProbe starts a probe, whose result is passed to {@link #onProbeReport}
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

  /** Creates a runtime with the given lessee settings. */
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
    lastTickNs = clock.nowNs();
    nextOwnFreeSlotsNs = lastTickNs;
  }

  /** Handles a message from a peer. */
  public void onMessage(GatewayId from, LeaseMessage message) {
    deliver(from, message);
    deliverToSelf();
  }

  /** Handles the opening of a connection to a peer. */
  public void onPeerConnected(GatewayId peer) {
    applyLesseeActions(lessee.onConnected(peer, clock.nowNs()));
  }

  /** Handles the closing of the connection to a peer. */
  public void onPeerDisconnected(GatewayId peer) {
    applyLesseeActions(lessee.onDisconnected(peer, clock.nowNs()));
  }

  /** Applies a new view of the fleet. */
  public void onView(FleetView newView) {
    view = isStopping ? withSelfLeaving(newView) : newView;
    long nowNs = clock.nowNs();
    applyBrokerActions(brokers.onView(view, ports.snapshot().get(), nowNs));
    applyLesseeActions(lessee.onView(view, nowNs));
  }

  /** Applies a new configuration. */
  public void onSnapshot(ConfigSnapshot newSnapshot) {
    long nowNs = clock.nowNs();
    applyBrokerActions(brokers.onSnapshot(newSnapshot, nowNs));
    applyBrokerActions(brokers.onView(view, newSnapshot, nowNs));
    applyLesseeActions(lessee.onSnapshot(newSnapshot, nowNs));
  }

  /** Records the free slots that a peer reports; ignores pools of which it is not the broker. */
  public void onFreeSlots(GatewayName from, List<PoolFreeSlots> pools) {
    for (PoolFreeSlots poolFree : pools) {
      Optional<Member> broker = BrokerPlacement.brokerOf(poolFree.pool(), view);
      if (broker.isPresent() && broker.get().id().name().equals(from)) {
        brokers.onFreeSlots(poolFree.pool(), poolFree.free());
        lessee.onFreeSlots(poolFree.pool(), poolFree.free());
      }
    }
  }

  /** Handles the result of a probe; empty if the backend server did not respond. */
  public void onProbeReport(BackendName backend, Optional<ProbeReport> report) {
    applyBrokerActions(brokers.onProbeReport(backend, report, clock.nowNs()));
  }

  /** Executes the actions that are due. Call every few milliseconds. */
  public void tick(long nowNs) {
    lastTickNs = nowNs;
    if (nowNs >= nextOwnFreeSlotsNs) {
      nextOwnFreeSlotsNs = nowNs + OWN_FREE_SLOTS_INTERVAL_NS;
      brokers
          .freeSlots()
          .forEach(poolFree -> brokers.onFreeSlots(poolFree.pool(), poolFree.free()));
    }
    applyBrokerActions(brokers.tick(nowNs));
    applyLesseeActions(lessee.tick(nowNs));
  }

  /**
   * Invalidates the leases and restarts the broker terms after a pause of the process. Must be
   * called before any other method.
   */
  public void afterPause() {
    long nowNs = clock.nowNs();
    lastTickNs = nowNs;
    applyLesseeActions(lessee.afterPause(nowNs));
    applyBrokerActions(brokers.afterPause(view, nowNs));
  }

  /**
   * Hands the lease table of every brokered pool over to its successor, and declines all further
   * broker roles.
   */
  public void prepareStop() {
    isStopping = true;
    onView(view);
  }

  private FleetView withSelfLeaving(FleetView currentView) {
    List<Member> members = new ArrayList<>();
    for (Member member : currentView.members()) {
      boolean isSelf = member.id().equals(self);
      members.add(
          isSelf
              ? new Member(member.id(), member.zone(), member.peerAddress(), MemberState.LEAVING)
              : member);
    }
    return new FleetView(
        currentView.number(), currentView.self(), members, currentView.refusesNewWork());
  }

  /** Returns the free slots of the pools that this gateway brokers, to be sent in heartbeats. */
  public List<PoolFreeSlots> freeSlots() {
    return brokers.freeSlots();
  }

  /** Returns the status of the brokers and the lessee, for state dumps. */
  public LeaseStatus status() {
    return new LeaseStatus(brokers.status(), lessee.status(clock.nowNs()));
  }

  /** Returns the idle leases. May be called on any thread. */
  IdleLeases idle() {
    return idle;
  }

  /**
   * Returns the monotonic time of the last tick of the control loop, in nanoseconds. May be called
   * on any thread.
   */
  long lastTickNs() {
    return lastTickNs;
  }

  /**
   * Requests a slot; completes the future with a lease or a {@link NotAdmittedException}. May be
   * called on any thread.
   */
  void admit(long callId, AdmissionRequest request, CompletableFuture<Lease> leaseFuture) {
    controlLoop.execute(
        () -> {
          pendingAdmissions.put(callId, leaseFuture);
          applyLesseeActions(lessee.admit(callId, request, clock.nowNs()));
        });
  }

  /**
   * Cancels the request of a call; a lease already granted to it is released unused. May be called
   * on any thread.
   */
  void cancel(long callId, CompletableFuture<Lease> leaseFuture) {
    controlLoop.execute(
        () -> {
          if (pendingAdmissions.remove(callId) != null) {
            applyLesseeActions(lessee.cancel(callId));
            return;
          }
          if (!leaseFuture.isCompletedExceptionally()) {
            applyLesseeActions(
                lessee.releaseLease(leaseFuture.join(), CallReport.unused(), clock.nowNs()));
          }
        });
  }

  /** Reports that an idle lease is reused for another call. May be called on any thread. */
  void reused(Lease lease) {
    CallReport lastCall = lease.lastReport();
    controlLoop.execute(
        () -> applyLesseeActions(lessee.onLeaseReused(lease, lastCall, clock.nowNs())));
  }

  /** Releases a lease. May be called on any thread. */
  void release(Lease lease, CallReport report) {
    controlLoop.execute(
        () -> applyLesseeActions(lessee.releaseLease(lease, report, clock.nowNs())));
  }

  private void applyLesseeActions(List<LesseeAction> actions) {
    for (LesseeAction action : actions) {
      switch (action) {
        case LesseeAction.Send(GatewayId to, LeaseMessage message) -> dispatch(to, message);
        case LesseeAction.Admitted(long callId, Lease lease) -> completeAdmission(callId, lease);
        case LesseeAction.NotAdmitted(long callId, var reason) -> {
          CompletableFuture<Lease> leaseFuture = pendingAdmissions.remove(callId);
          if (leaseFuture != null) {
            leaseFuture.completeExceptionally(new NotAdmittedException(reason));
          }
        }
      }
    }
    deliverToSelf();
  }

  private void completeAdmission(long callId, Lease lease) {
    CompletableFuture<Lease> leaseFuture = pendingAdmissions.remove(callId);
    if (leaseFuture == null) {
      applyLesseeActions(lessee.releaseLease(lease, CallReport.unused(), clock.nowNs()));
      return;
    }
    leaseFuture.complete(lease);
  }

  private void applyBrokerActions(List<BrokerAction> actions) {
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
      messagesToSelf.add(message);
      return;
    }
    ports.send().accept(to.name(), message);
  }

  private void deliverToSelf() {
    if (isDeliveringToSelf) {
      return;
    }
    isDeliveringToSelf = true;
    try {
      while (!messagesToSelf.isEmpty()) {
        deliver(self, messagesToSelf.remove());
      }
    } finally {
      isDeliveringToSelf = false;
    }
  }

  private void deliver(GatewayId from, LeaseMessage message) {
    long nowNs = clock.nowNs();
    switch (message) {
      case Acquire _, CancelAcquire _, Release _, Reuse _, HeldLeases _, HandOver _ ->
          applyBrokerActions(brokers.onMessage(from, message, ports.snapshot().get(), nowNs));
      case Grant _, Refuse _, Recall _, Withdraw _, HeldLeasesRequest _ ->
          applyLesseeActions(lessee.onMessage(from, message, nowNs));
    }
  }
}
