package org.cowslipstair.runtime.lease;

import static org.cowslipstair.runtime.lease.EventQueue.NS_PER_MS;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.cowslipstair.logic.broker.BrokerStatus;
import org.cowslipstair.logic.invariant.InvariantMonitor;
import org.cowslipstair.model.config.BackendName;
import org.cowslipstair.model.config.BackendServer;
import org.cowslipstair.model.config.ConfigObject;
import org.cowslipstair.model.config.ConfigSnapshot;
import org.cowslipstair.model.config.HostPort;
import org.cowslipstair.model.config.Labels;
import org.cowslipstair.model.config.PolicyKind;
import org.cowslipstair.model.config.Selector;
import org.cowslipstair.model.config.Service;
import org.cowslipstair.model.config.ServiceName;
import org.cowslipstair.model.config.Zone;
import org.cowslipstair.model.config.ZoneName;
import org.cowslipstair.model.fleet.GatewayId;
import org.cowslipstair.model.fleet.GatewayName;
import org.cowslipstair.model.pool.PoolId;
import org.cowslipstair.runtime.lease.FaultPlan.Fault;
import org.cowslipstair.runtime.lease.FaultPlan.FaultKind;

/**
 * Runs gateways with brokers and lessees in virtual time under random faults, and checks the calls
 * that actually run on the backend servers. Command line: {@code LeaseRandomRun seed runs
 * durationMs [kinds of fault]}.
 */
final class LeaseRandomRun {
  private static final int SLOTS = 3;

  /** Longest deadline, plus cancel grace, plus time for a message and a tick. */
  private static final long LONGEST_CALL_MS = 400 + 200 + 20;

  private static final int BACKENDS_PER_ZONE = 3;
  private static final List<ZoneName> ZONES = List.of(new ZoneName("a"), new ZoneName("b"));
  private final FaultPlan plan;
  private final EventQueue events = new EventQueue();
  private final Random random;
  private final FakeBackends backends = new FakeBackends(SLOTS);
  private final SimulatedNetwork network;
  private final Set<String> markedNames = new HashSet<>();
  private final Map<GatewayName, Long> incarnations = new HashMap<>();
  private ConfigSnapshot snapshot = snapshot(Set.of());
  private final Map<BackendName, Long> coldSinceNs = new HashMap<>();
  private long revision = 1;
  private long overColdLimitMs;

  /** Totals of a run. */
  record Outcome(
      long starts,
      long fallbackStarts,
      long refusedCalls,
      long startsOverSlots,
      int maxRunningCalls,
      long overColdLimitMs) {
    Outcome plus(Outcome other) {
      return new Outcome(
          starts + other.starts,
          fallbackStarts + other.fallbackStarts,
          refusedCalls + other.refusedCalls,
          startsOverSlots + other.startsOverSlots,
          Math.max(maxRunningCalls, other.maxRunningCalls),
          overColdLimitMs + other.overColdLimitMs);
    }
  }

  /** A run that violated an invariant, with its most recent trace. */
  record Failure(FaultPlan plan, long atMs, String message, List<String> trace) {}

  LeaseRandomRun(FaultPlan plan) {
    this.plan = plan;
    random = new Random(plan.seed());
    network = new SimulatedNetwork(events, random, plan, backends);
  }

  private ConfigSnapshot snapshot(Set<String> marked) {
    List<ConfigObject> objects = new ArrayList<>();
    for (ZoneName zone : ZONES) {
      Labels zoneLabels =
          marked.contains(zone.value())
              ? Labels.empty().with(Labels.STATE, Labels.STATE_OUT)
              : Labels.empty();
      objects.add(new Zone(zone, zoneLabels));
      for (int i = 0; i < BACKENDS_PER_ZONE; i++) {
        BackendName name = new BackendName(zone + "-" + i);
        Labels labels =
            marked.contains(name.value())
                ? Labels.empty().with(Labels.STATE, Labels.STATE_LEAVING)
                : Labels.empty();
        objects.add(
            new BackendServer(name, labels, zone, new HostPort("127.0.0.1", 1), SLOTS, 260));
      }
    }
    Selector all = Selector.everything();
    objects.add(
        new Service(
            new ServiceName("watch"), Labels.empty(), all, all, PolicyKind.BROKER, 400, 1, false));
    return ConfigSnapshot.of(revision, objects);
  }

  Outcome run() {
    for (int i = 0; i < plan.gateways(); i++) {
      start(new GatewayName("g" + i));
    }
    for (Fault fault : plan.faults()) {
      events.schedule(fault.atMs() * NS_PER_MS, () -> inject(fault));
    }
    events.schedule(NS_PER_MS, this::checkInvariants);
    events.runUntil(plan.durationMs() * NS_PER_MS);
    long refusedCalls = 0;
    for (SimulatedGateway gateway : network.gateways.values()) {
      refusedCalls += gateway.refusedCalls();
    }
    return new Outcome(
        backends.starts(),
        backends.fallbackStarts(),
        refusedCalls,
        backends.startsOverSlots(),
        backends.maxRunningCalls(),
        overColdLimitMs);
  }

  private void start(GatewayName name) {
    long incarnation = incarnations.merge(name, 1L, Long::sum);
    ZoneName zone = ZONES.get(Math.floorMod(name.hashCode(), ZONES.size()));
    SimulatedGateway gateway =
        new SimulatedGateway(
            new GatewayId(name, incarnation),
            zone,
            snapshot,
            events,
            backends,
            random,
            InvariantMonitor.failing(),
            network::send);
    gateway.runtime.onSnapshot(snapshot);
    network.join(gateway);
  }

  private void inject(Fault fault) {
    events.trace("fault", fault);
    List<SimulatedGateway> gateways = List.copyOf(network.gateways.values());
    SimulatedGateway target = gateways.get(fault.target() % gateways.size());
    SimulatedGateway other = gateways.get((fault.target() + 1) % gateways.size());
    long durationNs = fault.durationMs() * NS_PER_MS;
    BackendName backend =
        new BackendName(ZONES.get(fault.target() % 2) + "-" + fault.target() % BACKENDS_PER_ZONE);
    boolean isAtMinimumSize = gateways.size() <= 2;
    switch (fault.kind()) {
      case STOP -> {
        if (!isAtMinimumSize && !target.isLeaving) {
          stop(target);
        }
      }
      case CRASH -> {
        if (!isAtMinimumSize) {
          target.crash();
          network.leave(target);
          events.schedule(durationNs, () -> start(target.id.name()));
        }
      }
      case ZONE_OUT -> mark(ZONES.get(fault.target() % 2).value(), durationNs);
      case BACKEND_LEAVES -> mark(backend.value(), durationNs);
      case BACKEND_COLD -> backends.makeCold(backend);
      case PAUSE -> network.pause(target, durationNs);
      case PARTITION -> {
        network.partition(Set.of(target.id.name(), other.id.name()));
        events.schedule(durationNs, () -> network.partition(Set.of()));
      }
      case CONNECTION_LOST -> {
        if (target != other) {
          network.loseConnection(target, other);
        }
      }
      default -> throw new IllegalStateException("unknown fault " + fault);
    }
  }

  private void stop(SimulatedGateway target) {
    target.isLeaving = true;
    target.runtime.prepareStop();
    network.refreshAll();
    events.schedule(500 * NS_PER_MS, () -> leaveWhenIdle(target));
  }

  private void leaveWhenIdle(SimulatedGateway target) {
    if (!target.isAlive) {
      return;
    }
    if (!target.isIdle()) {
      events.schedule(20 * NS_PER_MS, () -> leaveWhenIdle(target));
      return;
    }
    network.leave(target);
    events.schedule(200 * NS_PER_MS, () -> start(target.id.name()));
  }

  private void mark(String name, long durationNs) {
    if (!markedNames.add(name)) {
      return;
    }
    publish();
    events.schedule(
        durationNs,
        () -> {
          markedNames.remove(name);
          publish();
        });
  }

  private void publish() {
    revision++;
    snapshot = snapshot(markedNames);
    ConfigSnapshot published = snapshot;
    for (SimulatedGateway gateway : network.gateways.values()) {
      events.schedule(
          random.nextInt(300) * NS_PER_MS,
          () -> gateway.whenRunning(() -> applySnapshot(gateway, published)));
    }
  }

  private static void applySnapshot(SimulatedGateway gateway, ConfigSnapshot published) {
    if (published.revision() > gateway.snapshot.revision()) {
      gateway.snapshot = published;
      gateway.runtime.onSnapshot(published);
    }
  }

  /** Compares the lease tables of the current brokers with the calls that actually run. */
  private void checkInvariants() {
    List<BrokerStatus> brokers = new ArrayList<>();
    for (SimulatedGateway gateway : network.gateways.values()) {
      brokers.addAll(gateway.runtime.status().brokers());
    }
    for (ZoneName zone : ZONES) {
      PoolId pool = new PoolId(new ServiceName("watch"), zone);
      checkPool(brokers.stream().filter(status -> status.pool().equals(pool)).toList());
    }
    events.schedule(NS_PER_MS, this::checkInvariants);
  }

  private void checkPool(List<BrokerStatus> brokers) {
    if (plan.isGraceful() && brokers.size() == 1 && !brokers.getFirst().recovering()) {
      checkLeaseTable(brokers.getFirst());
    }
    Map<BackendName, Integer> limits = new HashMap<>();
    for (BrokerStatus status : brokers) {
      for (BrokerStatus.BackendStatus backendStatus : status.backends()) {
        limits.merge(backendStatus.backend(), backendStatus.limit(), Math::max);
      }
    }
    limits.forEach(this::checkColdLimit);
  }

  /** A backend server that has been cold for longer than the longest call runs at most one call. */
  private void checkColdLimit(BackendName backend, int limit) {
    if (limit > 1) {
      coldSinceNs.put(backend, events.nowNs());
      return;
    }
    long sinceNs = coldSinceNs.computeIfAbsent(backend, _ -> events.nowNs());
    if (events.nowNs() - sinceNs < LONGEST_CALL_MS * NS_PER_MS
        || backends.runningCalls(backend) <= 1) {
      return;
    }
    overColdLimitMs++;
    if (plan.isGraceful()) {
      throw new AssertionError(
          "%s is cold and runs %d calls".formatted(backend, backends.runningCalls(backend)));
    }
  }

  /**
   * With a single broker that has recovered its lease table, every running call is in the table.
   */
  private void checkLeaseTable(BrokerStatus status) {
    for (BrokerStatus.BackendStatus backendStatus : status.backends()) {
      long running = backends.brokeredCalls(backendStatus.backend());
      if (running > backendStatus.out()) {
        throw new AssertionError(
            "%s runs %d calls, the table of its broker has %d"
                .formatted(backendStatus.backend(), running, backendStatus.out()));
      }
    }
    if (backends.startsOverSlots() > 0) {
      throw new AssertionError("slots exceeded in a graceful run");
    }
  }

  /** Runs a plan; returns its failure, if any. */
  static Optional<Failure> findFailure(FaultPlan plan) {
    LeaseRandomRun run = new LeaseRandomRun(plan);
    try {
      run.run();
      return Optional.empty();
    } catch (AssertionError | RuntimeException e) {
      long atMs = run.events.nowNs() / NS_PER_MS;
      return Optional.of(new Failure(plan, atMs, String.valueOf(e), run.events.recentTrace()));
    }
  }

  /** Removes from a failing plan what is not needed to reproduce the failure. */
  static Failure minimize(Failure failure) {
    Failure smallest = findFailure(failure.plan().shortenedTo(failure.atMs() + 10)).orElse(failure);
    smallest = findFailure(smallest.plan().withoutMessageLoss()).orElse(smallest);
    int faultsBefore;
    do {
      faultsBefore = smallest.plan().faults().size();
      for (int i = faultsBefore - 1; i >= 0; i--) {
        smallest = findFailure(smallest.plan().withoutFault(i)).orElse(smallest);
      }
    } while (smallest.plan().faults().size() < faultsBefore);
    return smallest;
  }

  /** Runs plans with consecutive seeds; minimizes and prints the first one that fails. */
  public static void main(String[] args) {
    long firstSeed = Long.parseLong(args[0]);
    int runs = Integer.parseInt(args[1]);
    long durationMs = Long.parseLong(args[2]);
    List<FaultKind> kinds = new ArrayList<>();
    for (int i = 3; i < args.length; i++) {
      kinds.add(FaultKind.valueOf(args[i]));
    }
    Outcome total = new Outcome(0, 0, 0, 0, 0, 0);
    for (long seed = firstSeed; seed < firstSeed + runs; seed++) {
      if (kinds.isEmpty()) {
        report(FaultPlan.generate(seed, true, durationMs));
        total = total.plus(report(FaultPlan.generate(seed, false, durationMs)));
      } else {
        total = total.plus(report(FaultPlan.generate(seed, false, durationMs, kinds)));
      }
    }
    System.out.println("all runs that were not graceful: " + total);
  }

  private static Outcome report(FaultPlan plan) {
    String name = "seed " + plan.seed() + (plan.isGraceful() ? " graceful" : "");
    Optional<Failure> failure = findFailure(plan);
    if (failure.isPresent()) {
      Failure minimized = minimize(failure.get());
      minimized.trace().forEach(System.out::println);
      System.out.println(name + " failed: " + minimized.message());
      System.out.println("at " + minimized.atMs() + " ms of " + minimized.plan());
      System.exit(1);
    }
    Outcome outcome = run(plan);
    System.out.println(name + ": " + outcome);
    return outcome;
  }

  static Outcome run(FaultPlan plan) {
    return new LeaseRandomRun(plan).run();
  }
}
