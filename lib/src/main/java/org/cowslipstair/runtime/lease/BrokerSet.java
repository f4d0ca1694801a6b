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
import org.cowslipstair.logic.backend.PoolBackends;
import org.cowslipstair.logic.broker.BrokerAction;
import org.cowslipstair.logic.broker.BrokerCore;
import org.cowslipstair.logic.broker.BrokerSettings;
import org.cowslipstair.logic.broker.BrokerStatus;
import org.cowslipstair.logic.broker.ColdSlotOwners;
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
import org.cowslipstair.model.peer.LeaseMessage.ZoneFree;
import org.cowslipstair.model.peer.MembershipMessage.PoolFree;
import org.cowslipstair.model.pool.PoolId;
import org.cowslipstair.port.BackendProbe.ProbeReport;
import org.jboss.logging.Logger;

/** The brokers that one gateway runs. Driven by the control loop. */
final class BrokerSet {
  private static final Logger LOG = Logger.getLogger(BrokerSet.class);
  private static final long NS_PER_MS = 1_000_000L;
  private final GatewayId self;
  private final RandomGenerator random;
  private final InvariantMonitor monitor;
  private final Map<PoolId, BrokerCore> cores = new TreeMap<>();
  private final Map<PoolId, Integer> free = new HashMap<>();
  private final ColdSlotOwners coldOwners =
      new ColdSlotOwners(BrokerSettings.defaults().rememberLostNs());

  BrokerSet(GatewayId self, RandomGenerator random, InvariantMonitor monitor) {
    this.self = self;
    this.random = random;
    this.monitor = monitor;
  }

  /** Starts and ends terms so that this gateway runs the brokers that the view gives it. */
  List<BrokerAction> onView(FleetView view, ConfigSnapshot snapshot, long nowNs) {
    coldOwners.onView(view, nowNs);
    List<BrokerAction> actions = new ArrayList<>();
    for (PoolId pool : snapshot.pools()) {
      core(pool, snapshot, nowNs);
    }
    cores.forEach((pool, core) -> actions.addAll(updateTerm(pool, core, view, nowNs)));
    return actions;
  }

  private List<BrokerAction> updateTerm(PoolId pool, BrokerCore core, FleetView view, long nowNs) {
    Optional<GatewayId> broker = BrokerPlacement.brokerOf(pool, view).map(Member::id);
    boolean mine = broker.isPresent() && broker.get().equals(self);
    if (mine && core.inTerm()) {
      return core.onView(view, nowNs);
    }
    if (mine) {
      LOG.infof("broker: term for pool %s started", pool);
      return core.startTerm(view, nowNs);
    }
    if (core.inTerm()) {
      LOG.infof("broker: term for pool %s ended", pool);
      return core.endTerm(broker, nowNs);
    }
    return List.of();
  }

  List<BrokerAction> onSnapshot(ConfigSnapshot snapshot, long nowNs) {
    List<BrokerAction> actions = new ArrayList<>();
    cores.forEach((pool, core) -> actions.addAll(configure(pool, core, snapshot, nowNs)));
    return actions;
  }

  private BrokerCore core(PoolId pool, ConfigSnapshot snapshot, long nowNs) {
    BrokerCore known = cores.get(pool);
    if (known != null) {
      return known;
    }
    BackendTrackerSettings settings = BackendTrackerSettings.defaults();
    Optional<Service> service = snapshot.service(pool.service());
    if (service.isPresent()) {
      settings = settings.withProbesPerSecond(service.get().probesPerSecond());
    }
    PoolBackends backends = new PoolBackends(pool, settings, random, monitor);
    BrokerCore core =
        new BrokerCore(pool, BrokerSettings.defaults(), backends, coldOwners, random, monitor);
    cores.put(pool, core);
    configure(pool, core, snapshot, nowNs);
    return core;
  }

  private static List<BrokerAction> configure(
      PoolId pool, BrokerCore core, ConfigSnapshot snapshot, long nowNs) {
    List<BackendServer> members = snapshot.members(pool);
    Set<BackendName> taking = new HashSet<>();
    for (BackendServer member : members) {
      if (snapshot.takesNewCalls(member.name())) {
        taking.add(member.name());
      }
    }
    long longestCallNs =
        snapshot.service(pool.service()).map(Service::timeoutMs).orElse(0L) * NS_PER_MS;
    return core.configure(members, taking, longestCallNs, nowNs);
  }

  List<BrokerAction> onMessage(
      GatewayId from, LeaseMessage message, ConfigSnapshot snapshot, long nowNs) {
    return core(message.pool(), snapshot, nowNs).onMessage(from, message, nowNs);
  }

  /** Takes the free slots of a pool that another gateway brokers. */
  void onFree(PoolId pool, int slots) {
    free.put(pool, slots);
    cores.forEach(
        (own, core) -> {
          if (own.service().equals(pool.service())) {
            core.elsewhere(elsewhere(own));
          }
        });
  }

  private List<ZoneFree> elsewhere(PoolId own) {
    List<ZoneFree> zones = new ArrayList<>();
    free.forEach(
        (pool, slots) -> {
          boolean sameService = pool.service().equals(own.service());
          if (sameService && !pool.zone().equals(own.zone())) {
            zones.add(new ZoneFree(pool.zone(), slots));
          }
        });
    return zones;
  }

  List<BrokerAction> onProbe(BackendName backend, Optional<ProbeReport> report, long nowNs) {
    List<BrokerAction> actions = new ArrayList<>();
    cores.values().forEach(core -> actions.addAll(core.onProbe(backend, report, nowNs)));
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

  List<PoolFree> freeSlots() {
    List<PoolFree> own = new ArrayList<>();
    cores.forEach(
        (pool, core) -> {
          if (core.inTerm()) {
            own.add(new PoolFree(pool, core.free()));
          }
        });
    return own;
  }

  List<BrokerStatus> status() {
    List<BrokerStatus> rows = new ArrayList<>();
    for (BrokerCore core : cores.values()) {
      if (core.inTerm()) {
        rows.add(core.status());
      }
    }
    return rows;
  }
}
