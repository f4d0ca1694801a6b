package org.cowslipstair.logic.broker;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.cowslipstair.logic.backend.PoolBackendTracker;
import org.cowslipstair.logic.invariant.InvariantMonitor;
import org.cowslipstair.logic.membership.FleetView;
import org.cowslipstair.model.config.BackendName;
import org.cowslipstair.model.config.BackendServer;
import org.cowslipstair.model.fleet.GatewayId;
import org.cowslipstair.model.peer.LeaseMessage;
import org.cowslipstair.model.peer.LeaseMessage.Acquire;
import org.cowslipstair.model.peer.LeaseMessage.CancelAcquire;
import org.cowslipstair.model.peer.LeaseMessage.FullPoolPolicy;
import org.cowslipstair.model.peer.LeaseMessage.Grant;
import org.cowslipstair.model.peer.LeaseMessage.HandOver;
import org.cowslipstair.model.peer.LeaseMessage.HeldLeases;
import org.cowslipstair.model.peer.LeaseMessage.HeldLeasesRequest;
import org.cowslipstair.model.peer.LeaseMessage.Recall;
import org.cowslipstair.model.peer.LeaseMessage.Refuse;
import org.cowslipstair.model.peer.LeaseMessage.RefuseReason;
import org.cowslipstair.model.peer.LeaseMessage.Release;
import org.cowslipstair.model.peer.LeaseMessage.Reuse;
import org.cowslipstair.model.peer.LeaseMessage.Withdraw;
import org.cowslipstair.model.peer.LeaseMessage.ZoneFreeSlots;
import org.cowslipstair.model.pool.CallReport;
import org.cowslipstair.model.pool.PoolId;
import org.cowslipstair.port.BackendProbe.ProbeReport;

/**
 * Broker of one pool. Outside a term it grants nothing, but it retains the state that distinguishes
 * a delayed duplicate of a message from a new one. Not thread-safe.
 */
public final class BrokerCore {
  private final PoolId pool;
  private final BrokerSettings settings;
  private final PoolBackendTracker backends;
  private final TermRecovery recovery = new TermRecovery();
  private final SlotLeases leases;
  private final LeaseTakeover takeover;
  private final WaitQueue queue = new WaitQueue();
  private final List<BrokerAction> actions = new ArrayList<>();
  private List<ZoneFreeSlots> otherZoneFreeSlots = List.of();
  private boolean inTerm;
  private long nextRecallAtNs = Long.MIN_VALUE;
  private long acquires;
  private long refusals;
  private long queueWaits;
  private long recalls;
  private long terms;

  /** A holder to notify that its leases of a backend server are withdrawn. */
  private record Withdrawal(GatewayId holder, BackendName backend) {}

  /** Creates a broker outside a term. */
  public BrokerCore(
      PoolId pool,
      BrokerSettings settings,
      PoolBackendTracker backends,
      ColdBackendOwnership coldOwners,
      RandomGenerator random,
      InvariantMonitor monitor) {
    this.pool = pool;
    this.settings = settings;
    this.backends = backends;
    leases = new SlotLeases(pool, settings, backends, recovery, coldOwners, random, monitor);
    takeover = new LeaseTakeover(pool, settings, backends, recovery, leases);
  }

  /** Returns whether this gateway considers itself the broker of the pool. */
  public boolean isInTerm() {
    return inTerm;
  }

  /**
   * Sets the members of the pool.
   *
   * @param acceptingNewCalls members that are neither leaving nor in a zone that is out of service
   * @param maxCallNs timeout of a call of the service
   */
  public List<BrokerAction> configure(
      List<BackendServer> members, Set<BackendName> acceptingNewCalls, long maxCallNs, long nowNs) {
    backends.configure(members, acceptingNewCalls, nowNs);
    leases.configure(acceptingNewCalls, maxCallNs);
    if (inTerm && acceptingNewCalls.isEmpty()) {
      refuseAllWaiting(RefuseReason.NO_BACKEND);
    }
    serveQueueAndWithdraw(nowNs);
    return drainActions();
  }

  /** Sets the free slots of the same service in other zones, reported with each refusal. */
  public void setFreeSlotsInOtherZones(List<ZoneFreeSlots> zones) {
    otherZoneFreeSlots = List.copyOf(zones);
  }

  /** Starts a term without any leases of the predecessor, and starts to recover them. */
  public List<BrokerAction> startTerm(FleetView view, long nowNs) {
    inTerm = true;
    terms++;
    leases.table().clear();
    backends.resetAll(nowNs);
    takeover.startRecovery(view, nowNs);
    takeover.adoptEarlyHandOver(nowNs);
    return tick(nowNs);
  }

  /** Ends the term and sends the lease table to the successor, if there is one. */
  public List<BrokerAction> endTerm(Optional<GatewayId> successor, long nowNs) {
    if (!inTerm) {
      return List.of();
    }
    inTerm = false;
    refuseAllWaiting(RefuseReason.NOT_BROKER);
    successor.ifPresent(to -> actions.add(new BrokerAction.Send(to, takeover.handOver(nowNs))));
    leases.table().clear();
    return drainActions();
  }

  /** Applies a new view of the fleet. */
  public List<BrokerAction> onView(FleetView view, long nowNs) {
    if (!inTerm) {
      return List.of();
    }
    for (GatewayId removed : takeover.onView(view)) {
      removeGateway(removed, nowNs);
    }
    return tick(nowNs);
  }

  private void removeGateway(GatewayId id, long nowNs) {
    leases.endLeasesOfDeadHolder(id, nowNs);
    recovery.removePeer(id, nowNs + settings.cancelGraceNs());
    queue.removeNumberedBelow(id, Long.MAX_VALUE);
  }

  /** Restarts the recovery after a process pause: another broker may have granted slots. */
  public List<BrokerAction> afterPause(FleetView view, long nowNs) {
    if (!inTerm) {
      return List.of();
    }
    backends.resetAll(nowNs);
    leases.expire(nowNs);
    takeover.startRecovery(view, nowNs);
    return tick(nowNs);
  }

  /** Handles a message from a gateway, which may be this one. */
  public List<BrokerAction> onMessage(GatewayId from, LeaseMessage message, long nowNs) {
    if (message instanceof HandOver handOver) {
      takeover.onHandOver(from, handOver, inTerm, nowNs);
      serveQueueAndWithdraw(nowNs);
      return drainActions();
    }
    if (!inTerm) {
      if (message instanceof Acquire acquire) {
        refuse(from, acquire.requestNumber(), RefuseReason.NOT_BROKER);
      }
      return drainActions();
    }
    switch (message) {
      case Acquire acquire -> onAcquire(from, acquire, nowNs);
      case CancelAcquire cancel ->
          release(new LeaseKey(from, cancel.requestNumber()), CallReport.unused(), nowNs);
      case Release release ->
          release(new LeaseKey(from, release.requestNumber()), release.report(), nowNs);
      case Reuse reuse ->
          leases.reuse(new LeaseKey(from, reuse.requestNumber()), reuse.report(), nowNs);
      case HeldLeases held -> {
        if (takeover.onHeld(from, held, nowNs)) {
          queue.removeNumberedBelow(from, held.nextRequestNumber());
        }
      }
      case Grant _, Refuse _, Recall _, HeldLeasesRequest _, Withdraw _, HandOver _ -> {}
    }
    serveQueueAndWithdraw(nowNs);
    return drainActions();
  }

  private void onAcquire(GatewayId from, Acquire acquire, long nowNs) {
    LeaseKey key = new LeaseKey(from, acquire.requestNumber());
    Optional<LeaseTable.Entry> existing = leases.table().get(key);
    if (existing.isPresent() && !existing.get().hasCallEnded()) {
      actions.add(new BrokerAction.Send(from, leases.grant(existing.get())));
      return;
    }
    if (queue.contains(key)) {
      return;
    }
    boolean isCompleted = existing.isPresent() || leases.completedRequests().contains(key);
    if (isCompleted || key.requestNumber() < takeover.firstUnreportedNumber(from)) {
      refuse(from, acquire.requestNumber(), RefuseReason.FULL);
      return;
    }
    acquires++;
    Optional<Grant> grant = leases.tryGrant(key, acquire.remainingNs(), acquire.excluded(), nowNs);
    if (grant.isPresent()) {
      actions.add(new BrokerAction.Send(from, grant.get()));
      return;
    }
    queueOrRefuse(key, acquire, nowNs);
  }

  private void queueOrRefuse(LeaseKey key, Acquire acquire, long nowNs) {
    Optional<RefuseReason> reason = findRefuseReason(acquire, nowNs);
    if (reason.isPresent()) {
      leases.completedRequests().add(key, nowNs);
      refuse(key.holder(), key.requestNumber(), reason.get());
      return;
    }
    queueWaits++;
    long deadlineNs = nowNs + acquire.remainingNs();
    queue.add(key, acquire.remainingNs(), deadlineNs, acquire.excluded());
    recallIdleLeasesIfDue(nowNs);
  }

  private Optional<RefuseReason> findRefuseReason(Acquire acquire, long nowNs) {
    if (leases.picker().members().isEmpty()) {
      return Optional.of(RefuseReason.NO_BACKEND);
    }
    RefuseReason fullReason = recovery.isComplete() ? RefuseReason.FULL : RefuseReason.RECOVERING;
    if (acquire.whenFull() == FullPoolPolicy.REFUSE || queue.size() >= settings.queueCapacity()) {
      return Optional.of(fullReason);
    }
    long deadlineNs = nowNs + acquire.remainingNs();
    long waitNs = leases.estimatedWaitNs(queue.countAhead(deadlineNs));
    boolean isTooLong = waitNs + leases.minRemainingNs() > acquire.remainingNs();
    return isTooLong ? Optional.of(RefuseReason.WAIT_TOO_LONG) : Optional.empty();
  }

  private void release(LeaseKey key, CallReport report, long nowNs) {
    queue.remove(key);
    leases.release(key, report, nowNs);
  }

  /** Handles the result of a probe; empty if the probe failed. */
  public List<BrokerAction> onProbeReport(
      BackendName backend, Optional<ProbeReport> report, long nowNs) {
    backends.recordProbe(backend, report, nowNs);
    serveQueueAndWithdraw(nowNs);
    return drainActions();
  }

  /** Runs due work: lease expiry, refusal of expired waits, probes, repeated held requests. */
  public List<BrokerAction> tick(long nowNs) {
    if (!inTerm) {
      return drainActions();
    }
    leases.expire(nowNs);
    recovery.finishIfDue(nowNs);
    for (GatewayId peer : recovery.peersToRequest(nowNs, settings.heldRetryNs())) {
      actions.add(new BrokerAction.Send(peer, new HeldLeasesRequest(pool)));
    }
    for (BackendName backend : backends.tick(nowNs)) {
      actions.add(new BrokerAction.Probe(backend));
    }
    serveQueueAndWithdraw(nowNs);
    recallIdleLeasesIfDue(nowNs);
    return drainActions();
  }

  private void serveQueueAndWithdraw(long nowNs) {
    serveQueue(nowNs);
    if (!inTerm || !recovery.isComplete()) {
      return;
    }
    Set<Withdrawal> notified = new LinkedHashSet<>();
    for (LeaseTable.Entry entry : leases.withdrawOverLimit()) {
      Withdrawal withdrawal = new Withdrawal(entry.key().holder(), entry.backend());
      if (notified.add(withdrawal)) {
        Withdraw message = new Withdraw(pool, entry.backend());
        actions.add(new BrokerAction.Send(withdrawal.holder(), message));
      }
    }
  }

  private void serveQueue(long nowNs) {
    if (!inTerm || queue.size() == 0) {
      return;
    }
    for (WaitQueue.QueuedAcquire queued : queue.removeExpired(nowNs + leases.minRemainingNs())) {
      leases.completedRequests().add(queued.key(), nowNs);
      refuse(queued.key().holder(), queued.key().requestNumber(), RefuseReason.WAIT_TOO_LONG);
    }
    if (leases.picker().freeSlots() == 0) {
      return;
    }
    for (WaitQueue.QueuedAcquire queued : queue.inServiceOrder()) {
      long remainingNs = queued.deadlineNs() - nowNs;
      Optional<Grant> grant = leases.tryGrant(queued.key(), remainingNs, queued.excluded(), nowNs);
      if (grant.isPresent()) {
        queue.remove(queued.key());
        actions.add(new BrokerAction.Send(queued.key().holder(), grant.get()));
      }
      if (leases.picker().freeSlots() == 0) {
        return;
      }
    }
  }

  private void recallIdleLeasesIfDue(long nowNs) {
    if (queue.size() == 0 || nowNs < nextRecallAtNs) {
      return;
    }
    nextRecallAtNs = nowNs + settings.recallIntervalNs();
    for (GatewayId holder : leases.table().holders()) {
      recalls++;
      actions.add(new BrokerAction.Send(holder, new Recall(pool, queue.size())));
    }
  }

  private void refuseAllWaiting(RefuseReason reason) {
    for (WaitQueue.QueuedAcquire queued : queue.inServiceOrder()) {
      refuse(queued.key().holder(), queued.key().requestNumber(), reason);
    }
    queue.clear();
  }

  private void refuse(GatewayId to, long requestNumber, RefuseReason reason) {
    refusals++;
    actions.add(
        new BrokerAction.Send(to, new Refuse(pool, requestNumber, reason, otherZoneFreeSlots)));
  }

  /** Returns how many more leases the pool can grant now; 0 outside a term. */
  public int freeSlots() {
    return inTerm ? leases.picker().freeSlots() : 0;
  }

  /** Returns the state of the broker, for state dumps. */
  public BrokerStatus status() {
    List<BrokerStatus.BackendStatus> rows = new ArrayList<>();
    Set<BackendName> names = new LinkedHashSet<>(leases.picker().members());
    names.addAll(leases.busyBackends());
    for (BackendName name : names) {
      rows.add(
          new BrokerStatus.BackendStatus(
              name, backends.state(name), backends.limit(name), leases.table().busySlots(name)));
    }
    BrokerStatus.BrokerCounters counters =
        new BrokerStatus.BrokerCounters(
            acquires,
            leases.grants(),
            leases.reuses(),
            refusals,
            queueWaits,
            recalls,
            leases.expiries(),
            terms);
    return new BrokerStatus(
        pool, !recovery.isComplete(), recovery.awaitedCount(), queue.size(), counters, rows);
  }

  private List<BrokerAction> drainActions() {
    List<BrokerAction> drained = List.copyOf(actions);
    actions.clear();
    return drained;
  }
}
