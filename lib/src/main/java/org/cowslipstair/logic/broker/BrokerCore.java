package org.cowslipstair.logic.broker;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.cowslipstair.logic.backend.PoolBackends;
import org.cowslipstair.logic.invariant.InvariantMonitor;
import org.cowslipstair.logic.membership.FleetView;
import org.cowslipstair.model.config.BackendName;
import org.cowslipstair.model.config.BackendServer;
import org.cowslipstair.model.fleet.GatewayId;
import org.cowslipstair.model.peer.LeaseMessage;
import org.cowslipstair.model.peer.LeaseMessage.Acquire;
import org.cowslipstair.model.peer.LeaseMessage.CancelAcquire;
import org.cowslipstair.model.peer.LeaseMessage.Grant;
import org.cowslipstair.model.peer.LeaseMessage.HandOver;
import org.cowslipstair.model.peer.LeaseMessage.Held;
import org.cowslipstair.model.peer.LeaseMessage.HeldRequest;
import org.cowslipstair.model.peer.LeaseMessage.Recall;
import org.cowslipstair.model.peer.LeaseMessage.Refuse;
import org.cowslipstair.model.peer.LeaseMessage.RefuseReason;
import org.cowslipstair.model.peer.LeaseMessage.Release;
import org.cowslipstair.model.peer.LeaseMessage.Reuse;
import org.cowslipstair.model.peer.LeaseMessage.WhenFull;
import org.cowslipstair.model.peer.LeaseMessage.Withdraw;
import org.cowslipstair.model.peer.LeaseMessage.ZoneFree;
import org.cowslipstair.model.pool.CallReport;
import org.cowslipstair.model.pool.PoolId;
import org.cowslipstair.port.BackendProbe.ProbeReport;

/**
 * Broker of one pool. Between terms it grants nothing; it remembers what a successor must know to
 * tell a late copy of a message from a new one.
 */
public final class BrokerCore {
  private final PoolId pool;
  private final BrokerSettings settings;
  private final PoolBackends backends;
  private final TermRecovery recovery = new TermRecovery();
  private final SlotLeases leases;
  private final LeaseTakeover takeover;
  private final WaitQueue queue = new WaitQueue();
  private final List<BrokerAction> actions = new ArrayList<>();
  private List<ZoneFree> elsewhere = List.of();
  private boolean inTerm;
  private long nextRecallAtNs = Long.MIN_VALUE;
  private long acquires;
  private long refusals;
  private long queueWaits;
  private long recalls;
  private long terms;

  /** A holder to be told that a backend server takes fewer calls. */
  private record Withdrawal(GatewayId holder, BackendName backend) {}

  /** Creates a broker that has no term. */
  public BrokerCore(
      PoolId pool,
      BrokerSettings settings,
      PoolBackends backends,
      ColdSlotOwners coldOwners,
      RandomGenerator random,
      InvariantMonitor monitor) {
    this.pool = pool;
    this.settings = settings;
    this.backends = backends;
    leases = new SlotLeases(pool, settings, backends, recovery, coldOwners, random, monitor);
    takeover = new LeaseTakeover(pool, settings, backends, recovery, leases);
  }

  /** Returns whether this gateway is the broker, as far as it knows. */
  public boolean inTerm() {
    return inTerm;
  }

  /**
   * Takes the members of the pool.
   *
   * @param takingNewCalls members that neither leave nor are in a zone that is out
   * @param longestCallNs longest time that a call of the service may take
   */
  public List<BrokerAction> configure(
      List<BackendServer> members,
      Set<BackendName> takingNewCalls,
      long longestCallNs,
      long nowNs) {
    backends.configure(members, takingNewCalls, nowNs);
    leases.configure(takingNewCalls, longestCallNs);
    if (inTerm && takingNewCalls.isEmpty()) {
      refuseAllWaiting(RefuseReason.NO_BACKEND);
    }
    settle(nowNs);
    return drain();
  }

  /** Takes the free slots of the same service in other zones. */
  public void elsewhere(List<ZoneFree> zones) {
    elsewhere = List.copyOf(zones);
  }

  /** Starts a term: nothing is known of the predecessor's leases. */
  public List<BrokerAction> startTerm(FleetView view, long nowNs) {
    inTerm = true;
    terms++;
    leases.table().clear();
    backends.forgetAll(nowNs);
    takeover.start(view, nowNs);
    takeover.adoptEarly(nowNs);
    return tick(nowNs);
  }

  /** Ends the term and hands the table to the successor, if there is one. */
  public List<BrokerAction> endTerm(Optional<GatewayId> successor, long nowNs) {
    if (!inTerm) {
      return List.of();
    }
    inTerm = false;
    refuseAllWaiting(RefuseReason.NOT_BROKER);
    successor.ifPresent(to -> actions.add(new BrokerAction.Send(to, takeover.handOver(nowNs))));
    leases.table().clear();
    return drain();
  }

  /** Takes a new view of the fleet. */
  public List<BrokerAction> onView(FleetView view, long nowNs) {
    if (!inTerm) {
      return List.of();
    }
    for (GatewayId gone : takeover.onView(view)) {
      died(gone, nowNs);
    }
    return tick(nowNs);
  }

  private void died(GatewayId id, long nowNs) {
    leases.holderDied(id, nowNs);
    recovery.died(id, nowNs + settings.cancelGraceNs());
    queue.removeBelow(id, Long.MAX_VALUE);
  }

  /** Starts over after the process was paused: others may have granted slots meanwhile. */
  public List<BrokerAction> afterPause(FleetView view, long nowNs) {
    if (!inTerm) {
      return List.of();
    }
    backends.forgetAll(nowNs);
    leases.expire(nowNs);
    takeover.start(view, nowNs);
    return tick(nowNs);
  }

  /** Takes a message of a gateway, which may be this one. */
  public List<BrokerAction> onMessage(GatewayId from, LeaseMessage message, long nowNs) {
    if (message instanceof HandOver handOver) {
      takeover.onHandOver(from, handOver, inTerm, nowNs);
      settle(nowNs);
      return drain();
    }
    if (!inTerm) {
      if (message instanceof Acquire acquire) {
        refuse(from, acquire.requestNumber(), RefuseReason.NOT_BROKER);
      }
      return drain();
    }
    switch (message) {
      case Acquire acquire -> onAcquire(from, acquire, nowNs);
      case CancelAcquire cancel ->
          release(new LeaseKey(from, cancel.requestNumber()), CallReport.unused(), nowNs);
      case Release release ->
          release(new LeaseKey(from, release.requestNumber()), release.report(), nowNs);
      case Reuse reuse ->
          leases.reuse(new LeaseKey(from, reuse.requestNumber()), reuse.report(), nowNs);
      case Held held -> {
        if (takeover.onHeld(from, held, nowNs)) {
          queue.removeBelow(from, held.nextRequestNumber());
        }
      }
      case Grant _, Refuse _, Recall _, HeldRequest _, Withdraw _, HandOver _ -> {}
    }
    settle(nowNs);
    return drain();
  }

  private void onAcquire(GatewayId from, Acquire acquire, long nowNs) {
    LeaseKey key = new LeaseKey(from, acquire.requestNumber());
    Optional<LeaseTable.Entry> granted = leases.table().get(key);
    if (granted.isPresent() && !granted.get().callEnded()) {
      actions.add(new BrokerAction.Send(from, leases.grant(granted.get())));
      return;
    }
    if (queue.contains(key)) {
      return;
    }
    boolean over = granted.isPresent() || leases.completed().contains(key);
    if (over || key.requestNumber() < takeover.floor(from)) {
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
    Optional<RefuseReason> reason = refuseReason(acquire, nowNs);
    if (reason.isPresent()) {
      leases.completed().add(key, nowNs);
      refuse(key.holder(), key.requestNumber(), reason.get());
      return;
    }
    queueWaits++;
    long deadlineNs = nowNs + acquire.remainingNs();
    queue.add(key, acquire.remainingNs(), deadlineNs, acquire.excluded());
    recallIfStarved(nowNs);
  }

  private Optional<RefuseReason> refuseReason(Acquire acquire, long nowNs) {
    if (leases.picker().members().isEmpty()) {
      return Optional.of(RefuseReason.NO_BACKEND);
    }
    RefuseReason full = recovery.isComplete() ? RefuseReason.FULL : RefuseReason.RECOVERING;
    if (acquire.whenFull() == WhenFull.REFUSE || queue.size() >= settings.queueCapacity()) {
      return Optional.of(full);
    }
    long deadlineNs = nowNs + acquire.remainingNs();
    long waitNs = leases.estimatedWaitNs(queue.ahead(deadlineNs));
    boolean tooLong = waitNs + leases.leastTimeToServeNs() > acquire.remainingNs();
    return tooLong ? Optional.of(RefuseReason.WAIT_TOO_LONG) : Optional.empty();
  }

  private void release(LeaseKey key, CallReport report, long nowNs) {
    queue.remove(key);
    leases.release(key, report, nowNs);
  }

  /** Takes the result of a probe. */
  public List<BrokerAction> onProbe(BackendName backend, Optional<ProbeReport> report, long nowNs) {
    backends.probed(backend, report, nowNs);
    settle(nowNs);
    return drain();
  }

  /** Does what is due: expiries, refusals of waits that are over, probes, repeated requests. */
  public List<BrokerAction> tick(long nowNs) {
    if (!inTerm) {
      return drain();
    }
    leases.expire(nowNs);
    recovery.finishIfDue(nowNs);
    for (GatewayId peer : recovery.toAsk(nowNs, settings.heldRetryNs())) {
      actions.add(new BrokerAction.Send(peer, new HeldRequest(pool)));
    }
    for (BackendName backend : backends.tick(nowNs)) {
      actions.add(new BrokerAction.Probe(backend));
    }
    settle(nowNs);
    recallIfStarved(nowNs);
    return drain();
  }

  private void settle(long nowNs) {
    serveQueue(nowNs);
    if (!inTerm || !recovery.isComplete()) {
      return;
    }
    Set<Withdrawal> told = new LinkedHashSet<>();
    for (LeaseTable.Entry entry : leases.withdrawPastLimit()) {
      Withdrawal withdrawal = new Withdrawal(entry.key().holder(), entry.backend());
      if (told.add(withdrawal)) {
        Withdraw message = new Withdraw(pool, entry.backend());
        actions.add(new BrokerAction.Send(withdrawal.holder(), message));
      }
    }
  }

  private void serveQueue(long nowNs) {
    if (!inTerm || queue.size() == 0) {
      return;
    }
    for (WaitQueue.Waiter waiter : queue.removePassed(nowNs + leases.leastTimeToServeNs())) {
      leases.completed().add(waiter.key(), nowNs);
      refuse(waiter.key().holder(), waiter.key().requestNumber(), RefuseReason.WAIT_TOO_LONG);
    }
    if (leases.picker().free() == 0) {
      return;
    }
    for (WaitQueue.Waiter waiter : queue.inOrder()) {
      long remainingNs = waiter.deadlineNs() - nowNs;
      Optional<Grant> grant = leases.tryGrant(waiter.key(), remainingNs, waiter.excluded(), nowNs);
      if (grant.isPresent()) {
        queue.remove(waiter.key());
        actions.add(new BrokerAction.Send(waiter.key().holder(), grant.get()));
      }
      if (leases.picker().free() == 0) {
        return;
      }
    }
  }

  private void recallIfStarved(long nowNs) {
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
    for (WaitQueue.Waiter waiter : queue.inOrder()) {
      refuse(waiter.key().holder(), waiter.key().requestNumber(), reason);
    }
    queue.clear();
  }

  private void refuse(GatewayId to, long requestNumber, RefuseReason reason) {
    refusals++;
    actions.add(new BrokerAction.Send(to, new Refuse(pool, requestNumber, reason, elsewhere)));
  }

  /** Returns how many more leases the pool may give now. */
  public int free() {
    return inTerm ? leases.picker().free() : 0;
  }

  /** Returns what the broker knows, for state dumps. */
  public BrokerStatus status() {
    List<BrokerStatus.BackendStatus> rows = new ArrayList<>();
    Set<BackendName> names = new LinkedHashSet<>(leases.picker().members());
    names.addAll(leases.busyBackends());
    for (BackendName name : names) {
      rows.add(
          new BrokerStatus.BackendStatus(
              name, backends.state(name), backends.limit(name), leases.table().out(name)));
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

  private List<BrokerAction> drain() {
    List<BrokerAction> drained = List.copyOf(actions);
    actions.clear();
    return drained;
  }
}
