package org.cowslipstair.logic.lessee;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cowslipstair.logic.membership.FleetView;
import org.cowslipstair.model.config.BackendName;
import org.cowslipstair.model.config.BackendServer;
import org.cowslipstair.model.fleet.GatewayId;
import org.cowslipstair.model.peer.LeaseMessage;
import org.cowslipstair.model.peer.LeaseMessage.Acquire;
import org.cowslipstair.model.peer.LeaseMessage.CancelAcquire;
import org.cowslipstair.model.peer.LeaseMessage.FullPoolPolicy;
import org.cowslipstair.model.peer.LeaseMessage.Grant;
import org.cowslipstair.model.peer.LeaseMessage.HeldLease;
import org.cowslipstair.model.peer.LeaseMessage.HeldLeases;
import org.cowslipstair.model.peer.LeaseMessage.Recall;
import org.cowslipstair.model.peer.LeaseMessage.Release;
import org.cowslipstair.model.peer.LeaseMessage.Reuse;
import org.cowslipstair.model.pool.CallReport;
import org.cowslipstair.model.pool.PoolId;

/** Leases of one pool that this gateway holds, and its pending acquires at the pool's broker. */
final class PoolLessee {
  private final PoolId pool;
  private final LesseeSettings settings;
  private final IdleLeases idleLeases;
  private final LesseeCounters counters;
  private final List<LesseeAction> actions;
  private final LingerPolicy lingerPolicy;
  private final FallbackSlots fallbackSlots;
  private final Map<Long, PendingAcquire> pendingAcquires = new LinkedHashMap<>();
  private final Map<Long, Lease> leases = new LinkedHashMap<>();
  private final Map<Long, EndedCall> endedCalls = new LinkedHashMap<>();
  private Optional<GatewayId> broker = Optional.empty();
  private long nextRequestNumber = 1;

  /** A call that has ended on this gateway, but may still run on its backend server. */
  private record EndedCall(BackendName backend, long runsUntilNs) {}

  /** An acquire that the broker has neither granted nor refused. */
  private static final class PendingAcquire {
    private final long callId;
    private final long deadlineNs;
    private final FullPoolPolicy whenFull;
    private final Set<BackendName> excluded;
    private final long sentAtNs;
    private long lastSentAtNs;

    private PendingAcquire(
        long callId,
        long deadlineNs,
        FullPoolPolicy whenFull,
        Set<BackendName> excluded,
        long nowNs) {
      this.callId = callId;
      this.deadlineNs = deadlineNs;
      this.whenFull = whenFull;
      this.excluded = excluded;
      this.sentAtNs = nowNs;
      this.lastSentAtNs = nowNs;
    }
  }

  PoolLessee(
      PoolId pool,
      LesseeSettings settings,
      IdleLeases idleLeases,
      LesseeCounters counters,
      List<LesseeAction> actions) {
    this.pool = pool;
    this.settings = settings;
    this.idleLeases = idleLeases;
    this.counters = counters;
    this.actions = actions;
    lingerPolicy = new LingerPolicy(settings);
    fallbackSlots = new FallbackSlots(settings.warmNewsNs());
  }

  boolean isReachable() {
    return broker.isPresent();
  }

  boolean isBroker(GatewayId gateway) {
    return broker.isPresent() && broker.get().equals(gateway);
  }

  /**
   * Sets the reachable broker. A new one is first sent the leases that are in use.
   *
   * @return calls whose acquires were abandoned because no broker is reachable
   */
  List<Long> setBroker(Optional<GatewayId> reachableBroker, long nowNs) {
    if (reachableBroker.equals(broker)) {
      return List.of();
    }
    broker = reachableBroker;
    if (broker.isPresent()) {
      reportHeldLeases(nowNs);
      return List.of();
    }
    discardIdleLeases();
    List<Long> abandonedCallIds = new ArrayList<>();
    pendingAcquires.values().forEach(request -> abandonedCallIds.add(request.callId));
    pendingAcquires.clear();
    return abandonedCallIds;
  }

  /** Reports the leases in use to the broker, and repeats pending acquires with new numbers. */
  void reportHeldLeases(long nowNs) {
    discardIdleLeases();
    List<HeldLease> heldLeases = new ArrayList<>();
    for (Lease lease : leases.values()) {
      lease.forbidReuse();
      long remainingNs = Math.max(0, lease.expiresAtNs() - nowNs);
      heldLeases.add(new HeldLease(lease.requestNumber(), lease.backend(), remainingNs, false));
    }
    endedCalls.forEach(
        (number, call) -> {
          long remainingNs = Math.max(0, call.runsUntilNs() - nowNs);
          heldLeases.add(new HeldLease(number, call.backend(), remainingNs, true));
        });
    long nextNumber = allocateRequestNumber();
    send(new HeldLeases(pool, nextNumber, heldLeases));
    List<PendingAcquire> repeated = List.copyOf(pendingAcquires.values());
    pendingAcquires.clear();
    for (PendingAcquire request : repeated) {
      requestSlot(request.callId, request.deadlineNs, request.whenFull, request.excluded, nowNs);
    }
  }

  private long allocateRequestNumber() {
    long number = nextRequestNumber;
    nextRequestNumber++;
    return number;
  }

  /** Requests a slot from the broker. */
  void requestSlot(
      long callId,
      long deadlineNs,
      FullPoolPolicy whenFull,
      Set<BackendName> excluded,
      long nowNs) {
    long number = allocateRequestNumber();
    PendingAcquire request = new PendingAcquire(callId, deadlineNs, whenFull, excluded, nowNs);
    pendingAcquires.put(number, request);
    counters.countAcquire();
    sendAcquire(number, request, nowNs);
  }

  private void sendAcquire(long number, PendingAcquire request, long nowNs) {
    request.lastSentAtNs = nowNs;
    long remainingNs = request.deadlineNs - nowNs;
    send(new Acquire(pool, number, remainingNs, request.whenFull, request.excluded));
  }

  /** Cancels the pending acquires of a call. */
  void cancel(long callId) {
    for (Map.Entry<Long, PendingAcquire> entry : List.copyOf(pendingAcquires.entrySet())) {
      if (entry.getValue().callId == callId) {
        pendingAcquires.remove(entry.getKey());
        send(new CancelAcquire(pool, entry.getKey()));
      }
    }
  }

  /** Acquires a slot that this gateway owns while no broker is reachable. */
  Optional<Lease> acquireFallback(
      List<BackendServer> members,
      Set<BackendName> excluded,
      long deadlineNs,
      FleetView view,
      long nowNs) {
    Map<BackendName, Integer> heldSlots = new HashMap<>();
    for (Lease lease : leases.values()) {
      heldSlots.merge(lease.backend(), 1, Integer::sum);
    }
    Optional<BackendName> picked = fallbackSlots.pick(members, excluded, heldSlots, view, nowNs);
    if (picked.isEmpty()) {
      return Optional.empty();
    }
    Lease lease =
        new Lease(pool, allocateRequestNumber(), picked.get(), deadlineNs, Optional.empty());
    leases.put(lease.requestNumber(), lease);
    counters.countFallbackStart();
    return Optional.of(lease);
  }

  /** Handles a grant; one without a pending acquire is released unused. */
  Optional<LesseeAction.Admitted> onGrant(GatewayId from, Grant grant, long nowNs) {
    lingerPolicy.setFreeSlots(grant.free());
    fallbackSlots.recordWarmth(grant.backend(), grant.warm(), nowNs);
    if (leases.containsKey(grant.requestNumber())) {
      return Optional.empty();
    }
    PendingAcquire request = isBroker(from) ? pendingAcquires.remove(grant.requestNumber()) : null;
    if (request == null) {
      counters.countLateGrant();
      Release unused = new Release(pool, grant.requestNumber(), CallReport.unused());
      actions.add(new LesseeAction.Send(from, unused));
      return Optional.empty();
    }
    long expiresAtNs = request.sentAtNs + grant.validNs();
    Lease lease = new Lease(pool, grant.requestNumber(), grant.backend(), expiresAtNs, broker);
    leases.put(lease.requestNumber(), lease);
    counters.countGrant();
    updateLinger(nowNs);
    return Optional.of(new LesseeAction.Admitted(request.callId, lease));
  }

  /** Handles a refusal; returns the refused call, if its acquire was pending. */
  Optional<Long> onRefuse(GatewayId from, long requestNumber) {
    PendingAcquire request = isBroker(from) ? pendingAcquires.remove(requestNumber) : null;
    if (request == null) {
      return Optional.empty();
    }
    counters.countRefusal();
    return Optional.of(request.callId);
  }

  /** Releases idle leases to a broker that has acquires waiting. */
  void onRecall(Recall recall, long nowNs) {
    counters.countRecall();
    lingerPolicy.recordRecall(nowNs);
    updateLinger(nowNs);
    int released = 0;
    for (Lease lease : List.copyOf(leases.values())) {
      if (released >= recall.count()) {
        return;
      }
      if (lease.tryDiscard()) {
        released++;
        removeAndRelease(lease, lease.lastReport());
      }
    }
  }

  /** Forbids further calls under the leases of a backend server whose limit was lowered. */
  void onWithdraw(BackendName backend, long nowNs) {
    fallbackSlots.recordWarmth(backend, false, nowNs);
    for (Lease lease : List.copyOf(leases.values())) {
      if (!lease.backend().equals(backend)) {
        continue;
      }
      lease.forbidNewCalls();
      if (lease.tryDiscard()) {
        removeAndRelease(lease, lease.lastReport());
      }
    }
  }

  /** Records a call of this gateway to the pool. */
  void recordCall(long nowNs) {
    lingerPolicy.recordCall(nowNs);
    updateLinger(nowNs);
  }

  /** Records that an idle lease is used for another call. */
  void recordReuse(Lease lease, CallReport report, long nowNs) {
    recordCall(nowNs);
    counters.countReuse();
    send(new Reuse(pool, lease.requestNumber(), report));
  }

  /** Releases a lease that was not kept idle for the next call. */
  void releaseLease(Lease lease, CallReport report, long nowNs) {
    fallbackSlots.recordResult(lease.backend(), report.end());
    if (report.end().mayStillRun()) {
      long runsUntilNs = nowNs + settings.cancelGraceNs();
      endedCalls.put(lease.requestNumber(), new EndedCall(lease.backend(), runsUntilNs));
    }
    removeAndRelease(lease, report);
  }

  private void removeAndRelease(Lease lease, CallReport report) {
    if (leases.remove(lease.requestNumber()) == null) {
      return;
    }
    idleLeases.remove(lease);
    send(new Release(pool, lease.requestNumber(), report));
  }

  private void discardIdleLeases() {
    for (Lease lease : List.copyOf(leases.values())) {
      if (lease.tryDiscard()) {
        leases.remove(lease.requestNumber());
        idleLeases.remove(lease);
      }
    }
  }

  /** Discards idle leases and forbids further calls under the others. */
  void afterPause(long nowNs) {
    discardIdleLeases();
    leases.values().forEach(Lease::forbidNewCalls);
    if (broker.isPresent()) {
      reportHeldLeases(nowNs);
    }
  }

  /** Applies a new configuration. */
  void configure(List<BackendServer> members) {
    fallbackSlots.clearOwnedSlots();
    int totalSlots = 0;
    for (BackendServer member : members) {
      totalSlots += member.slots();
    }
    lingerPolicy.setTotalSlots(totalSlots);
  }

  /** Releases leases whose idle time has passed, and repeats pending acquires. */
  void tick(long nowNs) {
    if (leases.isEmpty() && pendingAcquires.isEmpty() && endedCalls.isEmpty()) {
      return;
    }
    updateLinger(nowNs);
    endedCalls.values().removeIf(call -> call.runsUntilNs() <= nowNs);
    for (Lease lease : List.copyOf(leases.values())) {
      if (lease.hasIdleTimePassed(nowNs) && lease.tryDiscard()) {
        removeAndRelease(lease, lease.lastReport());
      }
    }
    pendingAcquires.forEach(
        (number, request) -> {
          if (nowNs - request.lastSentAtNs >= settings.resendNs()) {
            sendAcquire(number, request, nowNs);
          }
        });
  }

  private void updateLinger(long nowNs) {
    idleLeases.setLingerNs(pool, broker.isPresent() ? lingerPolicy.lingerNs(nowNs) : 0);
  }

  private void send(LeaseMessage message) {
    broker.ifPresent(to -> actions.add(new LesseeAction.Send(to, message)));
  }

  LesseeStatus.PoolStatus status(long nowNs) {
    int inUse = 0;
    for (Lease lease : leases.values()) {
      if (lease.isInUse()) {
        inUse++;
      }
    }
    return new LesseeStatus.PoolStatus(
        pool,
        broker,
        inUse,
        leases.size() - inUse,
        pendingAcquires.size(),
        lingerPolicy.lingerNs(nowNs));
  }
}
