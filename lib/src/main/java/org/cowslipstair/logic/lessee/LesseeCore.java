package org.cowslipstair.logic.lessee;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.cowslipstair.logic.admission.Admission.AdmissionRequest;
import org.cowslipstair.logic.membership.BrokerPlacement;
import org.cowslipstair.logic.membership.FleetView;
import org.cowslipstair.model.call.NotRunReason;
import org.cowslipstair.model.config.BackendServer;
import org.cowslipstair.model.config.ConfigSnapshot;
import org.cowslipstair.model.config.ZoneName;
import org.cowslipstair.model.fleet.GatewayId;
import org.cowslipstair.model.fleet.Member;
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

/**
 * Acquires a slot for each call of this gateway: from the broker of the home zone's pool, else from
 * the brokers of other zones, else, without a reachable broker, from the slots that this gateway
 * owns. Not thread-safe.
 */
public final class LesseeCore {
  /** Hash multiplier that spreads consecutive calls over pools of the same rank. */
  private static final long SPREAD_MULTIPLIER = 0x9E3779B97F4A7C15L;

  private final ZoneName homeZone;
  private final LesseeSettings settings;
  private final IdleLeases idleLeases;
  private final LesseeCounters counters = new LesseeCounters();
  private final List<LesseeAction> actions = new ArrayList<>();
  private final Map<PoolId, PoolLessee> pools = new TreeMap<>();
  private final Map<Long, WaitingCall> waitingCalls = new LinkedHashMap<>();
  private final Map<PoolId, Integer> freeSlots = new HashMap<>();
  private final Set<GatewayId> connectedGateways = new HashSet<>();
  private FleetView view;
  private ConfigSnapshot snapshot = ConfigSnapshot.empty();

  /** Creates a lessee without pools. */
  public LesseeCore(
      ZoneName homeZone, LesseeSettings settings, IdleLeases idleLeases, FleetView view) {
    this.homeZone = homeZone;
    this.settings = settings;
    this.idleLeases = idleLeases;
    this.view = view;
  }

  /** Applies a new configuration. */
  public List<LesseeAction> onSnapshot(ConfigSnapshot newSnapshot, long nowNs) {
    snapshot = newSnapshot;
    updateBrokers(nowNs);
    pools.forEach((pool, lessee) -> lessee.configure(snapshot.members(pool)));
    return drainActions();
  }

  /** Applies a new view of the fleet. */
  public List<LesseeAction> onView(FleetView newView, long nowNs) {
    view = newView;
    updateBrokers(nowNs);
    return drainActions();
  }

  /** Records that messages to a gateway can be delivered. */
  public List<LesseeAction> onConnected(GatewayId peer, long nowNs) {
    connectedGateways.add(peer);
    updateBrokers(nowNs);
    return drainActions();
  }

  /** Records that messages to a gateway can no longer be delivered. */
  public List<LesseeAction> onDisconnected(GatewayId peer, long nowNs) {
    connectedGateways.remove(peer);
    updateBrokers(nowNs);
    return drainActions();
  }

  private void updateBrokers(long nowNs) {
    for (PoolId pool : snapshot.pools()) {
      pools.computeIfAbsent(pool, this::newPool);
    }
    List<Long> abandonedCallIds = new ArrayList<>();
    pools.forEach(
        (pool, lessee) -> abandonedCallIds.addAll(lessee.setBroker(reachableBroker(pool), nowNs)));
    for (long callId : abandonedCallIds) {
      WaitingCall call = waitingCalls.get(callId);
      if (call != null) {
        pools.values().forEach(lessee -> lessee.cancel(callId));
        call.scheduleRetry(nowNs);
        route(call, nowNs);
      }
    }
  }

  private PoolLessee newPool(PoolId pool) {
    return new PoolLessee(pool, settings, idleLeases, counters, actions);
  }

  private Optional<GatewayId> reachableBroker(PoolId pool) {
    return BrokerPlacement.brokerOf(pool, view)
        .map(Member::id)
        .filter(id -> id.equals(view.self()) || connectedGateways.contains(id));
  }

  /** Records the number of free slots that the broker of a pool reported. */
  public void onFreeSlots(PoolId pool, int slots) {
    freeSlots.put(pool, slots);
  }

  /** Acquires a slot for a call; the result is among the returned actions or follows later. */
  public List<LesseeAction> admit(long callId, AdmissionRequest request, long nowNs) {
    WaitingCall call = new WaitingCall(callId, request);
    waitingCalls.put(callId, call);
    PoolLessee home = pools.get(new PoolId(request.service(), homeZone));
    if (home != null) {
      home.recordCall(nowNs);
    }
    route(call, nowNs);
    return drainActions();
  }

  private void route(WaitingCall call, long nowNs) {
    call.clearRetry();
    AdmissionRequest request = call.request();
    if (view.refusesNewWork()) {
      refuse(call, NotRunReason.GATEWAY_ISOLATED);
      return;
    }
    if (request.deadlineNs() <= nowNs) {
      refuse(call, NotRunReason.DEADLINE_TOO_CLOSE);
      return;
    }
    List<PoolId> candidates = candidatePools(call);
    if (candidates.isEmpty()) {
      refuse(call, NotRunReason.NO_BACKEND);
      return;
    }
    if (candidates.size() == 1 && !request.freeSlotOnly()) {
      joinQueues(call, candidates, nowNs);
      return;
    }
    PoolId preferred = candidates.getFirst();
    if (!call.hasTried(preferred) && tryPool(preferred, call, nowNs)) {
      return;
    }
    if (!request.freeSlotOnly()) {
      joinQueues(call, candidates, nowNs);
      return;
    }
    for (PoolId other : candidates) {
      boolean isWorthTrying = !call.hasTried(other) && freeSlots.getOrDefault(other, 0) > 0;
      if (isWorthTrying && tryPool(other, call, nowNs)) {
        return;
      }
    }
    refuse(call, NotRunReason.NO_FREE_SLOT);
  }

  /** Joins the queues of several pools; the first grant cancels the waits in the others. */
  private void joinQueues(WaitingCall call, List<PoolId> candidates, long nowNs) {
    AdmissionRequest request = call.request();
    int queuesJoined = 0;
    for (PoolId pool : candidates) {
      PoolLessee lessee = pools.get(pool);
      boolean canJoin =
          lessee != null && lessee.isReachable() && queuesJoined < settings.mostWaits();
      if (canJoin) {
        queuesJoined++;
        call.recordQueueJoined();
        lessee.requestSlot(
            call.id(), request.deadlineNs(), FullPoolPolicy.WAIT, request.excluded(), nowNs);
      }
    }
    if (queuesJoined > 0) {
      return;
    }
    for (PoolId pool : candidates) {
      if (tryFallbackSlot(pool, call, nowNs)) {
        return;
      }
    }
    call.scheduleRetry(nowNs + settings.retryNs());
  }

  /** Returns the pools that can serve the call: home zone first, then by most free slots. */
  private List<PoolId> candidatePools(WaitingCall call) {
    AdmissionRequest request = call.request();
    List<PoolId> candidates = new ArrayList<>();
    for (PoolId pool : pools.keySet()) {
      if (pool.service().equals(request.service()) && hasUsableBackend(pool, request)) {
        candidates.add(pool);
      }
    }
    candidates.sort(
        Comparator.comparing((PoolId pool) -> !pool.zone().equals(homeZone))
            .thenComparing(pool -> -freeSlots.getOrDefault(pool, 0))
            .thenComparing(
                pool -> Long.hashCode((pool.hashCode() + call.id()) * SPREAD_MULTIPLIER)));
    return candidates;
  }

  private boolean hasUsableBackend(PoolId pool, AdmissionRequest request) {
    for (BackendServer member : snapshot.members(pool)) {
      boolean acceptsNewCalls = snapshot.acceptsNewCalls(member.name());
      if (acceptsNewCalls && !request.excluded().contains(member.name())) {
        return true;
      }
    }
    return false;
  }

  private boolean tryPool(PoolId pool, WaitingCall call, long nowNs) {
    call.markTried(pool);
    PoolLessee lessee = pools.get(pool);
    if (lessee == null || !lessee.isReachable()) {
      return tryFallbackSlot(pool, call, nowNs);
    }
    AdmissionRequest request = call.request();
    call.recordImmediateRequest(nowNs);
    lessee.requestSlot(
        call.id(), request.deadlineNs(), FullPoolPolicy.REFUSE, request.excluded(), nowNs);
    return true;
  }

  private boolean tryFallbackSlot(PoolId pool, WaitingCall call, long nowNs) {
    PoolLessee lessee = pools.get(pool);
    if (lessee == null || lessee.isReachable()) {
      return false;
    }
    AdmissionRequest request = call.request();
    List<BackendServer> acceptingNewCalls = new ArrayList<>(snapshot.members(pool));
    acceptingNewCalls.removeIf(member -> !snapshot.acceptsNewCalls(member.name()));
    Optional<Lease> lease =
        lessee.acquireFallback(
            acceptingNewCalls, request.excluded(), request.deadlineNs(), view, nowNs);
    lease.ifPresent(granted -> actions.add(new LesseeAction.Admitted(call.id(), granted)));
    lease.ifPresent(_ -> waitingCalls.remove(call.id()));
    return lease.isPresent();
  }

  private void refuse(WaitingCall call, NotRunReason reason) {
    waitingCalls.remove(call.id());
    actions.add(new LesseeAction.NotAdmitted(call.id(), reason));
  }

  /** Abandons a call that its caller no longer waits for. */
  public List<LesseeAction> cancel(long callId) {
    waitingCalls.remove(callId);
    pools.values().forEach(lessee -> lessee.cancel(callId));
    return drainActions();
  }

  /** Records that an idle lease is used for another call. */
  public List<LesseeAction> onLeaseReused(Lease lease, CallReport lastCall, long nowNs) {
    PoolLessee lessee = pools.get(lease.pool());
    if (lessee != null) {
      lessee.recordReuse(lease, lastCall, nowNs);
    }
    return drainActions();
  }

  /** Releases a lease that was not kept idle for the next call. */
  public List<LesseeAction> releaseLease(Lease lease, CallReport report, long nowNs) {
    PoolLessee lessee = pools.get(lease.pool());
    if (lessee != null) {
      lessee.releaseLease(lease, report, nowNs);
    }
    return drainActions();
  }

  /** Handles a message from a broker, which may be this gateway. */
  public List<LesseeAction> onMessage(GatewayId from, LeaseMessage message, long nowNs) {
    PoolLessee lessee = pools.computeIfAbsent(message.pool(), this::newPool);
    switch (message) {
      case Grant grant -> onGrant(from, lessee, grant, nowNs);
      case Refuse refuse -> onRefuse(from, lessee, refuse, nowNs);
      case Recall recall -> {
        if (lessee.isBroker(from)) {
          lessee.onRecall(recall, nowNs);
        }
      }
      case Withdraw withdraw -> {
        if (lessee.isBroker(from)) {
          lessee.onWithdraw(withdraw.backend(), nowNs);
        }
      }
      case HeldLeasesRequest _ -> {
        if (lessee.isBroker(from)) {
          lessee.reportHeldLeases(nowNs);
        }
      }
      case Acquire _, CancelAcquire _, Release _, Reuse _, HeldLeases _, HandOver _ -> {}
    }
    return drainActions();
  }

  private void onGrant(GatewayId from, PoolLessee lessee, Grant grant, long nowNs) {
    freeSlots.put(grant.pool(), grant.free());
    Optional<LesseeAction.Admitted> admitted = lessee.onGrant(from, grant, nowNs);
    if (admitted.isEmpty()) {
      return;
    }
    long callId = admitted.get().callId();
    WaitingCall call = waitingCalls.remove(callId);
    if (call != null && call.isQueued()) {
      pools.values().forEach(other -> other.cancel(callId));
    }
    if (!grant.pool().zone().equals(homeZone)) {
      counters.countSpill();
    }
    actions.add(admitted.get());
  }

  private void onRefuse(GatewayId from, PoolLessee lessee, Refuse refuse, long nowNs) {
    for (ZoneFreeSlots zone : refuse.freeSlotsInOtherZones()) {
      freeSlots.put(new PoolId(refuse.pool().service(), zone.zone()), zone.free());
    }
    freeSlots.put(refuse.pool(), 0);
    WaitingCall call =
        lessee.onRefuse(from, refuse.requestNumber()).map(waitingCalls::get).orElse(null);
    if (call == null || (call.isQueued() && !call.recordQueueRefusal())) {
      return;
    }
    boolean hasNoBackend = refuse.reason() == RefuseReason.NO_BACKEND;
    if (refuse.reason() == RefuseReason.NOT_BROKER) {
      call.scheduleRetry(nowNs + settings.retryNs());
    } else if (call.hasJoinedQueue()) {
      refuse(call, hasNoBackend ? NotRunReason.NO_BACKEND : NotRunReason.NO_FREE_SLOT);
    } else {
      route(call, nowNs);
    }
  }

  /** Invalidates all leases after a process pause: no call may start under any of them. */
  public List<LesseeAction> afterPause(long nowNs) {
    pools.values().forEach(lessee -> lessee.afterPause(nowNs));
    return drainActions();
  }

  /** Runs due work: expired calls, retries, release of idle leases, repeated acquires. */
  public List<LesseeAction> tick(long nowNs) {
    for (WaitingCall call : List.copyOf(waitingCalls.values())) {
      if (call.request().deadlineNs() <= nowNs) {
        pools.values().forEach(lessee -> lessee.cancel(call.id()));
        refuse(call, NotRunReason.NO_FREE_SLOT);
      } else if (call.retryAtNs() <= nowNs) {
        route(call, nowNs);
      } else if (call.hasNoReplySince(nowNs - settings.silenceNs())) {
        joinQueuesAfterBrokerTimeout(call, nowNs);
      }
    }
    pools.values().forEach(lessee -> lessee.tick(nowNs));
    return drainActions();
  }

  private void joinQueuesAfterBrokerTimeout(WaitingCall call, long nowNs) {
    if (call.request().freeSlotOnly()) {
      return;
    }
    pools.values().forEach(lessee -> lessee.cancel(call.id()));
    joinQueues(call, candidatePools(call), nowNs);
  }

  /** Returns the state of the lessee, for state dumps. */
  public LesseeStatus status(long nowNs) {
    List<LesseeStatus.PoolStatus> rows = new ArrayList<>();
    pools.values().forEach(lessee -> rows.add(lessee.status(nowNs)));
    return new LesseeStatus(waitingCalls.size(), counters.counts(), rows);
  }

  private List<LesseeAction> drainActions() {
    List<LesseeAction> drained = List.copyOf(actions);
    actions.clear();
    return drained;
  }
}
