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
import org.cowslipstair.model.peer.LeaseMessage.Grant;
import org.cowslipstair.model.peer.LeaseMessage.Held;
import org.cowslipstair.model.peer.LeaseMessage.HeldLease;
import org.cowslipstair.model.peer.LeaseMessage.Recall;
import org.cowslipstair.model.peer.LeaseMessage.Release;
import org.cowslipstair.model.peer.LeaseMessage.Reuse;
import org.cowslipstair.model.peer.LeaseMessage.WhenFull;
import org.cowslipstair.model.pool.CallReport;
import org.cowslipstair.model.pool.PoolId;

/** What a gateway holds of one pool, and what it has asked the pool's broker for. */
final class PoolLessee {
  private final PoolId pool;
  private final LesseeSettings settings;
  private final IdleLeases idle;
  private final LesseeCounters counters;
  private final List<LesseeAction> actions;
  private final LingerPolicy linger;
  private final FallbackSlots fallback;
  private final Map<Long, Pending> pending = new LinkedHashMap<>();
  private final Map<Long, Lease> leases = new LinkedHashMap<>();
  private final Map<Long, EndedCall> endedCalls = new LinkedHashMap<>();
  private Optional<GatewayId> broker = Optional.empty();
  private long nextRequestNumber = 1;

  /** A call that is over here, but may still run on its backend server. */
  private record EndedCall(BackendName backend, long runsUntilNs) {}

  /** An acquire without answer. */
  private static final class Pending {
    private final long callId;
    private final long deadlineNs;
    private final WhenFull whenFull;
    private final Set<BackendName> excluded;
    private final long sentAtNs;
    private long lastSentNs;

    private Pending(
        long callId, long deadlineNs, WhenFull whenFull, Set<BackendName> excluded, long nowNs) {
      this.callId = callId;
      this.deadlineNs = deadlineNs;
      this.whenFull = whenFull;
      this.excluded = excluded;
      this.sentAtNs = nowNs;
      this.lastSentNs = nowNs;
    }
  }

  PoolLessee(
      PoolId pool,
      LesseeSettings settings,
      IdleLeases idle,
      LesseeCounters counters,
      List<LesseeAction> actions) {
    this.pool = pool;
    this.settings = settings;
    this.idle = idle;
    this.counters = counters;
    this.actions = actions;
    linger = new LingerPolicy(settings);
    fallback = new FallbackSlots(settings.warmNewsNs());
  }

  boolean isReachable() {
    return broker.isPresent();
  }

  boolean isBroker(GatewayId gateway) {
    return broker.isPresent() && broker.get().equals(gateway);
  }

  /**
   * Sets the broker that can be reached. A new one first learns the leases that are in use.
   *
   * @return calls whose acquire was given up because there is no broker
   */
  List<Long> broker(Optional<GatewayId> reachable, long nowNs) {
    if (reachable.equals(broker)) {
      return List.of();
    }
    broker = reachable;
    if (broker.isPresent()) {
      announce(nowNs);
      return List.of();
    }
    dropIdle();
    List<Long> givenUp = new ArrayList<>();
    pending.values().forEach(request -> givenUp.add(request.callId));
    pending.clear();
    return givenUp;
  }

  /** Tells the broker which leases are in use, and asks anew for what is pending. */
  void announce(long nowNs) {
    dropIdle();
    List<HeldLease> held = new ArrayList<>();
    for (Lease lease : leases.values()) {
      lease.forbidReuse();
      long remainingNs = Math.max(0, lease.expiresAtNs() - nowNs);
      held.add(new HeldLease(lease.requestNumber(), lease.backend(), remainingNs, false));
    }
    endedCalls.forEach(
        (number, call) -> {
          long remainingNs = Math.max(0, call.runsUntilNs() - nowNs);
          held.add(new HeldLease(number, call.backend(), remainingNs, true));
        });
    long next = takeNumber();
    send(new Held(pool, next, held));
    List<Pending> again = List.copyOf(pending.values());
    pending.clear();
    for (Pending request : again) {
      request(request.callId, request.deadlineNs, request.whenFull, request.excluded, nowNs);
    }
  }

  private long takeNumber() {
    long number = nextRequestNumber;
    nextRequestNumber++;
    return number;
  }

  /** Asks the broker for a slot. */
  void request(
      long callId, long deadlineNs, WhenFull whenFull, Set<BackendName> excluded, long nowNs) {
    long number = takeNumber();
    Pending request = new Pending(callId, deadlineNs, whenFull, excluded, nowNs);
    pending.put(number, request);
    counters.acquired();
    sendAcquire(number, request, nowNs);
  }

  private void sendAcquire(long number, Pending request, long nowNs) {
    request.lastSentNs = nowNs;
    long remainingNs = request.deadlineNs - nowNs;
    send(new Acquire(pool, number, remainingNs, request.whenFull, request.excluded));
  }

  /** Gives up the acquires of a call. */
  void cancel(long callId) {
    for (Map.Entry<Long, Pending> entry : List.copyOf(pending.entrySet())) {
      if (entry.getValue().callId == callId) {
        pending.remove(entry.getKey());
        send(new CancelAcquire(pool, entry.getKey()));
      }
    }
  }

  /** Takes a slot that this gateway may use without a broker. */
  Optional<Lease> takeFallback(
      List<BackendServer> members,
      Set<BackendName> excluded,
      long deadlineNs,
      FleetView view,
      long nowNs) {
    Map<BackendName, Integer> held = new HashMap<>();
    for (Lease lease : leases.values()) {
      held.merge(lease.backend(), 1, Integer::sum);
    }
    Optional<BackendName> picked = fallback.pick(members, excluded, held, view, nowNs);
    if (picked.isEmpty()) {
      return Optional.empty();
    }
    Lease lease = new Lease(pool, takeNumber(), picked.get(), deadlineNs, Optional.empty());
    leases.put(lease.requestNumber(), lease);
    counters.startedFallback();
    return Optional.of(lease);
  }

  /** Takes a grant; one that nobody waits for goes back unused. */
  Optional<LesseeAction.Admitted> onGrant(GatewayId from, Grant grant, long nowNs) {
    linger.free(grant.free());
    fallback.news(grant.backend(), grant.warm(), nowNs);
    if (leases.containsKey(grant.requestNumber())) {
      return Optional.empty();
    }
    Pending request = isBroker(from) ? pending.remove(grant.requestNumber()) : null;
    if (request == null) {
      counters.grantedLate();
      Release unused = new Release(pool, grant.requestNumber(), CallReport.unused());
      actions.add(new LesseeAction.Send(from, unused));
      return Optional.empty();
    }
    long expiresAtNs = request.sentAtNs + grant.validNs();
    Lease lease = new Lease(pool, grant.requestNumber(), grant.backend(), expiresAtNs, broker);
    leases.put(lease.requestNumber(), lease);
    counters.granted();
    updateLinger(nowNs);
    return Optional.of(new LesseeAction.Admitted(request.callId, lease));
  }

  /** Takes a refusal; returns the call that was refused. */
  Optional<Long> onRefuse(GatewayId from, long requestNumber) {
    Pending request = isBroker(from) ? pending.remove(requestNumber) : null;
    if (request == null) {
      return Optional.empty();
    }
    counters.refused();
    return Optional.of(request.callId);
  }

  /** Gives idle leases back to a starved broker. */
  void onRecall(Recall recall, long nowNs) {
    counters.recalled();
    linger.recalled(nowNs);
    updateLinger(nowNs);
    int released = 0;
    for (Lease lease : List.copyOf(leases.values())) {
      if (released >= recall.count()) {
        return;
      }
      if (lease.drop()) {
        released++;
        giveBack(lease, lease.lastReport());
      }
    }
  }

  /** Starts no further call under the leases of a backend server whose limit fell. */
  void onWithdraw(BackendName backend, long nowNs) {
    fallback.news(backend, false, nowNs);
    for (Lease lease : List.copyOf(leases.values())) {
      if (!lease.backend().equals(backend)) {
        continue;
      }
      lease.forbidStart();
      if (lease.drop()) {
        giveBack(lease, lease.lastReport());
      }
    }
  }

  /** Counts a call of this gateway to the pool. */
  void called(long nowNs) {
    linger.called(nowNs);
    updateLinger(nowNs);
  }

  /** Takes note that an idle lease serves another call. */
  void reused(Lease lease, CallReport report, long nowNs) {
    called(nowNs);
    counters.reused();
    send(new Reuse(pool, lease.requestNumber(), report));
  }

  /** Ends a lease that was not kept for the next call. */
  void released(Lease lease, CallReport report, long nowNs) {
    fallback.ended(lease.backend(), report.end());
    if (report.end().mayStillRun()) {
      long runsUntilNs = nowNs + settings.cancelGraceNs();
      endedCalls.put(lease.requestNumber(), new EndedCall(lease.backend(), runsUntilNs));
    }
    giveBack(lease, report);
  }

  private void giveBack(Lease lease, CallReport report) {
    if (leases.remove(lease.requestNumber()) == null) {
      return;
    }
    idle.forget(lease);
    send(new Release(pool, lease.requestNumber(), report));
  }

  private void dropIdle() {
    for (Lease lease : List.copyOf(leases.values())) {
      if (lease.drop()) {
        leases.remove(lease.requestNumber());
        idle.forget(lease);
      }
    }
  }

  /** Forgets idle leases and forbids every start under the others. */
  void afterPause(long nowNs) {
    dropIdle();
    leases.values().forEach(Lease::forbidStart);
    if (broker.isPresent()) {
      announce(nowNs);
    }
  }

  /** Takes a new configuration. */
  void configure(List<BackendServer> members) {
    fallback.forgetOwned();
    int slots = 0;
    for (BackendServer member : members) {
      slots += member.slots();
    }
    linger.slots(slots);
  }

  /** Gives back leases that were idle for long enough, and repeats acquires without answer. */
  void tick(long nowNs) {
    if (leases.isEmpty() && pending.isEmpty() && endedCalls.isEmpty()) {
      return;
    }
    updateLinger(nowNs);
    endedCalls.values().removeIf(call -> call.runsUntilNs() <= nowNs);
    for (Lease lease : List.copyOf(leases.values())) {
      if (lease.isIdleSince(nowNs) && lease.drop()) {
        giveBack(lease, lease.lastReport());
      }
    }
    pending.forEach(
        (number, request) -> {
          if (nowNs - request.lastSentNs >= settings.resendNs()) {
            sendAcquire(number, request, nowNs);
          }
        });
  }

  private void updateLinger(long nowNs) {
    idle.linger(pool, broker.isPresent() ? linger.lingerNs(nowNs) : 0);
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
        pool, broker, inUse, leases.size() - inUse, pending.size(), linger.lingerNs(nowNs));
  }
}
