package org.cowslipstair.logic.lessee;

import java.util.ArrayList;
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
    pools.values().forEach(PoolLessee::forgetOwnedSlots);
    updateBrokers(nowNs);
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
    List<PoolId> candidates = candidates(request);
    if (candidates.isEmpty()) {
      refuse(call, NotRunReason.NO_BACKEND);
      return;
    }
    PoolId base = candidates.getFirst();
    if (!call.hasTried(base)) {
      WhenFull whenFull = request.freeSlotOnly() ? WhenFull.REFUSE : WhenFull.SPILL_OR_WAIT;
      if (tryPool(base, call, whenFull, nowNs)) {
        return;
      }
    }
    for (PoolId other : candidates) {
      boolean worthTrying = !call.hasTried(other) && free.getOrDefault(other, 0) > 0;
      if (worthTrying && tryPool(other, call, WhenFull.REFUSE, nowNs)) {
        counters.spilled();
        return;
      }
    }
    waitOrRefuse(call, base, nowNs);
  }

  private void waitOrRefuse(WaitingCall call, PoolId base, long nowNs) {
    if (call.request().freeSlotOnly()) {
      refuse(call, NotRunReason.NO_FREE_SLOT);
      return;
    }
    PoolLessee lessee = pools.get(base);
    if (lessee != null && lessee.isReachable()) {
      AdmissionRequest request = call.request();
      call.waited();
      lessee.request(call.id(), request.deadlineNs(), WhenFull.WAIT, request.excluded(), nowNs);
      return;
    }
    call.retryAt(nowNs + settings.retryNs());
  }

  /** Returns the pools with backend servers that take calls: home first, then most free slots. */
  private List<PoolId> candidates(AdmissionRequest request) {
    List<PoolId> candidates = new ArrayList<>();
    for (PoolId pool : pools.keySet()) {
      if (pool.service().equals(request.service()) && hasBackend(pool, request)) {
        candidates.add(pool);
      }
    }
    candidates.sort(
        (a, b) -> {
          boolean aHome = a.zone().equals(homeZone);
          boolean bHome = b.zone().equals(homeZone);
          return aHome == bHome
              ? Integer.compare(free.getOrDefault(b, 0), free.getOrDefault(a, 0))
              : Boolean.compare(bHome, aHome);
        });
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

  private boolean tryPool(PoolId pool, WaitingCall call, WhenFull whenFull, long nowNs) {
    call.tried(pool);
    PoolLessee lessee = pools.get(pool);
    if (lessee == null) {
      return false;
    }
    AdmissionRequest request = call.request();
    if (lessee.isReachable()) {
      lessee.request(call.id(), request.deadlineNs(), whenFull, request.excluded(), nowNs);
      return true;
    }
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
    int before = actions.size();
    lessee.onGrant(from, grant, nowNs);
    for (LesseeAction action : actions.subList(before, actions.size())) {
      if (action instanceof LesseeAction.Admitted(long callId, Lease _)) {
        calls.remove(callId);
      }
    }
  }

  private void onRefuse(GatewayId from, PoolLessee lessee, Refuse refuse, long nowNs) {
    for (ZoneFree zone : refuse.elsewhere()) {
      free.put(new PoolId(refuse.pool().service(), zone.zone()), zone.free());
    }
    free.put(refuse.pool(), 0);
    WaitingCall call = lessee.onRefuse(from, refuse.requestNumber()).map(calls::get).orElse(null);
    if (call == null) {
      return;
    }
    switch (refuse.reason()) {
      case FULL, RECOVERING -> refused(call, NotRunReason.NO_FREE_SLOT, nowNs);
      case NO_BACKEND -> refused(call, NotRunReason.NO_BACKEND, nowNs);
      case NOT_BROKER -> call.retryAt(nowNs + settings.retryNs());
      case WAIT_TOO_LONG -> refuse(call, NotRunReason.NO_FREE_SLOT);
      default -> throw new IllegalStateException("unknown reason " + refuse.reason());
    }
  }

  private void refused(WaitingCall call, NotRunReason lastReason, long nowNs) {
    if (call.hasWaited()) {
      refuse(call, lastReason);
      return;
    }
    route(call, nowNs);
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
      }
    }
    pools.values().forEach(lessee -> lessee.tick(nowNs));
    return drain();
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
