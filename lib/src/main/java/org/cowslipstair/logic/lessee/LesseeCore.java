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

/**
 * Finds a slot for each call of this gateway: from the broker of the home zone's pool, else from
 * those of other zones, else, without a broker, from the slots that this gateway owns.
 */
public final class LesseeCore {
  /** Multiplier that spreads successive calls over pools that look alike. */
  private static final long SPREAD = 0x9E3779B97F4A7C15L;

  private final ZoneName homeZone;
  private final LesseeSettings settings;
  private final IdleLeases idle;
  private final LesseeCounters counters = new LesseeCounters();
  private final List<LesseeAction> actions = new ArrayList<>();
  private final Map<PoolId, PoolLessee> pools = new TreeMap<>();
  private final Map<Long, WaitingCall> calls = new LinkedHashMap<>();
  private final Map<PoolId, Integer> free = new HashMap<>();
  private final Set<GatewayId> connected = new HashSet<>();
  private FleetView view;
  private ConfigSnapshot snapshot = ConfigSnapshot.empty();

  /** Creates a lessee that knows no pool. */
  public LesseeCore(ZoneName homeZone, LesseeSettings settings, IdleLeases idle, FleetView view) {
    this.homeZone = homeZone;
    this.settings = settings;
    this.idle = idle;
    this.view = view;
  }

  /** Takes a new configuration. */
  public List<LesseeAction> onSnapshot(ConfigSnapshot newSnapshot, long nowNs) {
    snapshot = newSnapshot;
    updateBrokers(nowNs);
    pools.forEach((pool, lessee) -> lessee.configure(snapshot.members(pool)));
    return drain();
  }

  /** Takes a new view of the fleet. */
  public List<LesseeAction> onView(FleetView newView, long nowNs) {
    view = newView;
    updateBrokers(nowNs);
    return drain();
  }

  /** Takes note that messages to a gateway arrive from now on. */
  public List<LesseeAction> onConnected(GatewayId peer, long nowNs) {
    connected.add(peer);
    updateBrokers(nowNs);
    return drain();
  }

  /** Takes note that messages to a gateway are lost from now on. */
  public List<LesseeAction> onDisconnected(GatewayId peer, long nowNs) {
    connected.remove(peer);
    updateBrokers(nowNs);
    return drain();
  }

  private void updateBrokers(long nowNs) {
    for (PoolId pool : snapshot.pools()) {
      pools.computeIfAbsent(pool, this::newPool);
    }
    List<Long> givenUp = new ArrayList<>();
    pools.forEach((pool, lessee) -> givenUp.addAll(lessee.broker(reachable(pool), nowNs)));
    for (long callId : givenUp) {
      WaitingCall call = calls.get(callId);
      if (call != null) {
        pools.values().forEach(lessee -> lessee.cancel(callId));
        call.retryAt(nowNs);
        route(call, nowNs);
      }
    }
  }

  private PoolLessee newPool(PoolId pool) {
    return new PoolLessee(pool, settings, idle, counters, actions);
  }

  private Optional<GatewayId> reachable(PoolId pool) {
    return BrokerPlacement.brokerOf(pool, view)
        .map(Member::id)
        .filter(id -> id.equals(view.self()) || connected.contains(id));
  }

  /** Takes the free slots that the broker of a pool reported. */
  public void onFree(PoolId pool, int slots) {
    free.put(pool, slots);
  }

  /** Looks for a slot for a call; the answer may be among the actions, or come later. */
  public List<LesseeAction> admit(long callId, AdmissionRequest request, long nowNs) {
    WaitingCall call = new WaitingCall(callId, request);
    calls.put(callId, call);
    PoolLessee home = pools.get(new PoolId(request.service(), homeZone));
    if (home != null) {
      home.called(nowNs);
    }
    route(call, nowNs);
    return drain();
  }

  private void route(WaitingCall call, long nowNs) {
    call.noRetry();
    AdmissionRequest request = call.request();
    if (view.isolated()) {
      refuse(call, NotRunReason.GATEWAY_ISOLATED);
      return;
    }
    if (request.deadlineNs() <= nowNs) {
      refuse(call, NotRunReason.DEADLINE_TOO_CLOSE);
      return;
    }
    List<PoolId> candidates = candidates(call);
    if (candidates.isEmpty()) {
      refuse(call, NotRunReason.NO_BACKEND);
      return;
    }
    if (candidates.size() == 1 && !request.freeSlotOnly()) {
      waitInQueues(call, candidates, nowNs);
      return;
    }
    PoolId base = candidates.getFirst();
    if (!call.hasTried(base) && tryPool(base, call, nowNs)) {
      return;
    }
    if (!request.freeSlotOnly()) {
      waitInQueues(call, candidates, nowNs);
      return;
    }
    for (PoolId other : candidates) {
      boolean worthTrying = !call.hasTried(other) && free.getOrDefault(other, 0) > 0;
      if (worthTrying && tryPool(other, call, nowNs)) {
        return;
      }
    }
    refuse(call, NotRunReason.NO_FREE_SLOT);
  }

  /** Waits in the queues of several pools; the first grant ends the waits in the others. */
  private void waitInQueues(WaitingCall call, List<PoolId> candidates, long nowNs) {
    AdmissionRequest request = call.request();
    int waits = 0;
    for (PoolId pool : candidates) {
      PoolLessee lessee = pools.get(pool);
      boolean waitsHere = lessee != null && lessee.isReachable() && waits < settings.mostWaits();
      if (waitsHere) {
        waits++;
        call.startWait();
        lessee.request(call.id(), request.deadlineNs(), WhenFull.WAIT, request.excluded(), nowNs);
      }
    }
    if (waits > 0) {
      return;
    }
    for (PoolId pool : candidates) {
      if (tryFallback(pool, call, nowNs)) {
        return;
      }
    }
    call.retryAt(nowNs + settings.retryNs());
  }

  /** Returns the pools with backend servers that take calls: home first, then most free slots. */
  private List<PoolId> candidates(WaitingCall call) {
    AdmissionRequest request = call.request();
    List<PoolId> candidates = new ArrayList<>();
    for (PoolId pool : pools.keySet()) {
      if (pool.service().equals(request.service()) && hasBackend(pool, request)) {
        candidates.add(pool);
      }
    }
    candidates.sort(
        Comparator.comparing((PoolId pool) -> !pool.zone().equals(homeZone))
            .thenComparing(pool -> -free.getOrDefault(pool, 0))
            .thenComparing(pool -> Long.hashCode((pool.hashCode() + call.id()) * SPREAD)));
    return candidates;
  }

  private boolean hasBackend(PoolId pool, AdmissionRequest request) {
    for (BackendServer member : snapshot.members(pool)) {
      boolean taking = snapshot.takesNewCalls(member.name());
      if (taking && !request.excluded().contains(member.name())) {
        return true;
      }
    }
    return false;
  }

  private boolean tryPool(PoolId pool, WaitingCall call, long nowNs) {
    call.tried(pool);
    PoolLessee lessee = pools.get(pool);
    if (lessee == null || !lessee.isReachable()) {
      return tryFallback(pool, call, nowNs);
    }
    AdmissionRequest request = call.request();
    call.asked(nowNs);
    lessee.request(call.id(), request.deadlineNs(), WhenFull.REFUSE, request.excluded(), nowNs);
    return true;
  }

  private boolean tryFallback(PoolId pool, WaitingCall call, long nowNs) {
    PoolLessee lessee = pools.get(pool);
    if (lessee == null || lessee.isReachable()) {
      return false;
    }
    AdmissionRequest request = call.request();
    List<BackendServer> taking = new ArrayList<>(snapshot.members(pool));
    taking.removeIf(member -> !snapshot.takesNewCalls(member.name()));
    Optional<Lease> lease =
        lessee.takeFallback(taking, request.excluded(), request.deadlineNs(), view, nowNs);
    lease.ifPresent(granted -> actions.add(new LesseeAction.Admitted(call.id(), granted)));
    lease.ifPresent(_ -> calls.remove(call.id()));
    return lease.isPresent();
  }

  private void refuse(WaitingCall call, NotRunReason reason) {
    calls.remove(call.id());
    actions.add(new LesseeAction.NotAdmitted(call.id(), reason));
  }

  /** Gives up a call that nobody waits for any more. */
  public List<LesseeAction> cancel(long callId) {
    calls.remove(callId);
    pools.values().forEach(lessee -> lessee.cancel(callId));
    return drain();
  }

  /** Takes note that an idle lease serves another call. */
  public List<LesseeAction> reused(Lease lease, CallReport lastCall, long nowNs) {
    PoolLessee lessee = pools.get(lease.pool());
    if (lessee != null) {
      lessee.reused(lease, lastCall, nowNs);
    }
    return drain();
  }

  /** Ends a lease that was not kept for the next call. */
  public List<LesseeAction> released(Lease lease, CallReport report, long nowNs) {
    PoolLessee lessee = pools.get(lease.pool());
    if (lessee != null) {
      lessee.released(lease, report, nowNs);
    }
    return drain();
  }

  /** Takes a message of a broker, which may be this gateway. */
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
      case HeldRequest _ -> {
        if (lessee.isBroker(from)) {
          lessee.announce(nowNs);
        }
      }
      case Acquire _, CancelAcquire _, Release _, Reuse _, Held _, HandOver _ -> {}
    }
    return drain();
  }

  private void onGrant(GatewayId from, PoolLessee lessee, Grant grant, long nowNs) {
    free.put(grant.pool(), grant.free());
    Optional<LesseeAction.Admitted> admitted = lessee.onGrant(from, grant, nowNs);
    if (admitted.isEmpty()) {
      return;
    }
    long callId = admitted.get().callId();
    WaitingCall call = calls.remove(callId);
    if (call != null && call.isQueued()) {
      pools.values().forEach(other -> other.cancel(callId));
    }
    if (!grant.pool().zone().equals(homeZone)) {
      counters.spilled();
    }
    actions.add(admitted.get());
  }

  private void onRefuse(GatewayId from, PoolLessee lessee, Refuse refuse, long nowNs) {
    for (ZoneFree zone : refuse.elsewhere()) {
      free.put(new PoolId(refuse.pool().service(), zone.zone()), zone.free());
    }
    free.put(refuse.pool(), 0);
    WaitingCall call = lessee.onRefuse(from, refuse.requestNumber()).map(calls::get).orElse(null);
    if (call == null || (call.isQueued() && !call.endWait())) {
      return;
    }
    boolean noBackend = refuse.reason() == RefuseReason.NO_BACKEND;
    if (refuse.reason() == RefuseReason.NOT_BROKER) {
      call.retryAt(nowNs + settings.retryNs());
    } else if (call.hasWaited()) {
      refuse(call, noBackend ? NotRunReason.NO_BACKEND : NotRunReason.NO_FREE_SLOT);
    } else {
      route(call, nowNs);
    }
  }

  /** Forgets what may have changed during a pause of the process: no lease starts a call. */
  public List<LesseeAction> afterPause(long nowNs) {
    pools.values().forEach(lessee -> lessee.afterPause(nowNs));
    return drain();
  }

  /** Does what is due: calls whose deadline has passed, idle leases, repeats. */
  public List<LesseeAction> tick(long nowNs) {
    for (WaitingCall call : List.copyOf(calls.values())) {
      if (call.request().deadlineNs() <= nowNs) {
        pools.values().forEach(lessee -> lessee.cancel(call.id()));
        refuse(call, NotRunReason.NO_FREE_SLOT);
      } else if (call.retryAtNs() <= nowNs) {
        route(call, nowNs);
      } else if (call.isUnansweredSince(nowNs - settings.silenceNs())) {
        stopWaitingForSilentBroker(call, nowNs);
      }
    }
    pools.values().forEach(lessee -> lessee.tick(nowNs));
    return drain();
  }

  private void stopWaitingForSilentBroker(WaitingCall call, long nowNs) {
    if (call.request().freeSlotOnly()) {
      return;
    }
    pools.values().forEach(lessee -> lessee.cancel(call.id()));
    waitInQueues(call, candidates(call), nowNs);
  }

  /** Returns what the lessee knows, for state dumps. */
  public LesseeStatus status(long nowNs) {
    List<LesseeStatus.PoolStatus> rows = new ArrayList<>();
    pools.values().forEach(lessee -> rows.add(lessee.status(nowNs)));
    return new LesseeStatus(calls.size(), counters.counts(), rows);
  }

  private List<LesseeAction> drain() {
    List<LesseeAction> drained = List.copyOf(actions);
    actions.clear();
    return drained;
  }
}
