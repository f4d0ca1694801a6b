package org.cowslipstair.runtime.lease;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import org.cowslipstair.logic.backend.BackendTrackerSettings;
import org.cowslipstair.logic.backend.PoolBackendTracker;
import org.cowslipstair.logic.broker.BrokerAction;
import org.cowslipstair.logic.broker.BrokerCore;
import org.cowslipstair.logic.broker.BrokerSettings;
import org.cowslipstair.logic.broker.BrokerStatus;
import org.cowslipstair.logic.broker.ColdBackendOwnership;
import org.cowslipstair.logic.invariant.InvariantMonitor;
import org.cowslipstair.logic.membership.BrokerPlacement;
import org.cowslipstair.logic.membership.FleetView;
import org.cowslipstair.model.config.BackendName;
import org.cowslipstair.model.config.BackendServer;
import org.cowslipstair.model.config.ConfigSnapshot;
import org.cowslipstair.model.config.Service;
import org.cowslipstair.model.fleet.GatewayId;
import org.cowslipstair.model.fleet.Member;
import org.cowslipstair.model.peer.LeaseMessage;
import org.cowslipstair.model.peer.LeaseMessage.ZoneFreeSlots;
import org.cowslipstair.model.peer.MembershipMessage.PoolFreeSlots;
import org.cowslipstair.model.pool.PoolId;
import org.cowslipstair.port.BackendProbe.ProbeReport;
import org.jboss.logging.Logger;

/** The brokers that run on one gateway. Called on the control loop. */
final class BrokerSet {
  private static final Logger LOG = Logger.getLogger(BrokerSet.class);
  private static final long NS_PER_MS = 1_000_000L;
  private final GatewayId self;
  private final RandomGenerator random;
  private final InvariantMonitor monitor;
  private final Map<PoolId, BrokerCore> cores = new TreeMap<>();
  private final Map<PoolId, Integer> freeSlotsByPool = new HashMap<>();
  private final ColdBackendOwnership coldOwners =
      new ColdBackendOwnership(BrokerSettings.defaults().rememberLostNs());

  BrokerSet(GatewayId self, RandomGenerator random, InvariantMonitor monitor) {
    this.self = self;
    this.random = random;
    this.monitor = monitor;
  }

  /**
   * Starts and ends broker terms so that this gateway brokers exactly the pools that the view
   * assigns to it.
   */
  List<BrokerAction> onView(FleetView view, ConfigSnapshot snapshot, long nowNs) {
    coldOwners.onView(view, nowNs);
    List<BrokerAction> actions = new ArrayList<>();
    for (PoolId pool : snapshot.pools()) {
      getOrCreateCore(pool, snapshot, nowNs);
    }
    cores.forEach((pool, core) -> actions.addAll(updateTerm(pool, core, view, nowNs)));
    return actions;
  }

  private List<BrokerAction> updateTerm(PoolId pool, BrokerCore core, FleetView view, long nowNs) {
    Optional<GatewayId> broker = BrokerPlacement.brokerOf(pool, view).map(Member::id);
    boolean isSelfBroker = broker.isPresent() && broker.get().equals(self);
    if (isSelfBroker && core.isInTerm()) {
      return core.onView(view, nowNs);
    }
    if (isSelfBroker) {
      LOG.infof("broker: term for pool %s started", pool);
      return core.startTerm(view, nowNs);
    }
    if (core.isInTerm()) {
      LOG.infof("broker: term for pool %s ended", pool);
      return core.endTerm(broker, nowNs);
    }
    return List.of();
  }

  List<BrokerAction> onSnapshot(ConfigSnapshot snapshot, long nowNs) {
    List<BrokerAction> actions = new ArrayList<>();
    cores.forEach((pool, core) -> actions.addAll(configureCore(pool, core, snapshot, nowNs)));
    return actions;
  }

  private BrokerCore getOrCreateCore(PoolId pool, ConfigSnapshot snapshot, long nowNs) {
    BrokerCore existing = cores.get(pool);
    if (existing != null) {
      return existing;
    }
    BackendTrackerSettings settings = BackendTrackerSettings.defaults();
    Optional<Service> service = snapshot.service(pool.service());
    if (service.isPresent()) {
      settings = settings.withProbesPerSecond(service.get().probesPerSecond());
    }
    PoolBackendTracker backends = new PoolBackendTracker(pool, settings, random, monitor);
    BrokerCore core =
        new BrokerCore(pool, BrokerSettings.defaults(), backends, coldOwners, random, monitor);
    cores.put(pool, core);
    configureCore(pool, core, snapshot, nowNs);
    return core;
  }

  private static List<BrokerAction> configureCore(
      PoolId pool, BrokerCore core, ConfigSnapshot snapshot, long nowNs) {
    List<BackendServer> members = snapshot.members(pool);
    Set<BackendName> acceptingNewCalls = new HashSet<>();
    for (BackendServer member : members) {
      if (snapshot.acceptsNewCalls(member.name())) {
        acceptingNewCalls.add(member.name());
      }
    }
    long longestCallNs =
        snapshot.service(pool.service()).map(Service::timeoutMs).orElse(0L) * NS_PER_MS;
    return core.configure(members, acceptingNewCalls, longestCallNs, nowNs);
  }

  List<BrokerAction> onMessage(
      GatewayId from, LeaseMessage message, ConfigSnapshot snapshot, long nowNs) {
    return getOrCreateCore(message.pool(), snapshot, nowNs).onMessage(from, message, nowNs);
  }

  /** Records the free slots of a pool, as reported by its broker. */
  void onFreeSlots(PoolId pool, int slots) {
    freeSlotsByPool.put(pool, slots);
    cores.forEach(
        (ownPool, core) -> {
          if (ownPool.service().equals(pool.service())) {
            core.setFreeSlotsInOtherZones(freeSlotsInOtherZones(ownPool));
          }
        });
  }

  private List<ZoneFreeSlots> freeSlotsInOtherZones(PoolId ownPool) {
    List<ZoneFreeSlots> freeSlotsOfZones = new ArrayList<>();
    freeSlotsByPool.forEach(
        (pool, slots) -> {
          boolean isSameService = pool.service().equals(ownPool.service());
          if (isSameService && !pool.zone().equals(ownPool.zone())) {
            freeSlotsOfZones.add(new ZoneFreeSlots(pool.zone(), slots));
          }
        });
    return freeSlotsOfZones;
  }

  List<BrokerAction> onProbeReport(BackendName backend, Optional<ProbeReport> report, long nowNs) {
    List<BrokerAction> actions = new ArrayList<>();
    cores.values().forEach(core -> actions.addAll(core.onProbeReport(backend, report, nowNs)));
    return actions;
  }

  List<BrokerAction> afterPause(FleetView view, long nowNs) {
    List<BrokerAction> actions = new ArrayList<>();
    cores.values().forEach(core -> actions.addAll(core.afterPause(view, nowNs)));
    return actions;
  }

  List<BrokerAction> tick(long nowNs) {
    coldOwners.tick(nowNs);
    List<BrokerAction> actions = new ArrayList<>();
    cores.values().forEach(core -> actions.addAll(core.tick(nowNs)));
    return actions;
  }

  List<PoolFreeSlots> freeSlots() {
    List<PoolFreeSlots> ownFreeSlots = new ArrayList<>();
    cores.forEach(
        (pool, core) -> {
          if (core.isInTerm()) {
            ownFreeSlots.add(new PoolFreeSlots(pool, core.freeSlots()));
          }
        });
    return ownFreeSlots;
  }

  List<BrokerStatus> status() {
    List<BrokerStatus> statuses = new ArrayList<>();
    for (BrokerCore core : cores.values()) {
      if (core.isInTerm()) {
        statuses.add(core.status());
      }
    }
    return statuses;
  }
}
