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
 * Runs gateways with brokers and lessees in virtual time under random faults, and checks what
 * really runs on the backend servers. As a program: {@code LeaseRandomRun seed runs lengthMs [kinds
 * of fault]}.
 */
final class LeaseRandomRun {
  private static final int SLOTS = 3;

  /** Longest deadline, cancel grace, and time for a message and a turn of the loop. */
  private static final long LONGEST_CALL_MS = 400 + 200 + 20;

  private static final int BACKENDS_PER_ZONE = 3;
  private static final List<ZoneName> ZONES = List.of(new ZoneName("a"), new ZoneName("b"));
  private final FaultPlan plan;
  private final EventQueue events = new EventQueue();
  private final Random random;
  private final FakeBackends backends = new FakeBackends(SLOTS);
  private final SimulatedNetwork network;
  private final Set<String> marked = new HashSet<>();
  private final Map<GatewayName, Long> incarnations = new HashMap<>();
  private ConfigSnapshot snapshot = snapshot(Set.of());
  private final Map<BackendName, Long> coldSinceNs = new HashMap<>();
  private long revision = 1;
  private long pastColdMs;

  /** What a run did. */
  record Outcome(
      long starts,
      long fallbackStarts,
      long refused,
      long pastSlots,
      int mostRunning,
      long pastColdMs) {
    Outcome plus(Outcome other) {
      return new Outcome(
          starts + other.starts,
          fallbackStarts + other.fallbackStarts,
          refused + other.refused,
          pastSlots + other.pastSlots,
          Math.max(mostRunning, other.mostRunning),
          pastColdMs + other.pastColdMs);
    }
  }

  /** A run that broke a promise. */
  record Failure(FaultPlan plan, long atMs, String message, List<String> trace) {}

  LeaseRandomRun(FaultPlan plan) {
    this.plan = plan;
    random = new Random(plan.seed());
    network = new SimulatedNetwork(events, random, plan, backends);
  }

  private ConfigSnapshot snapshot(Set<String> markedNow) {
    List<ConfigObject> objects = new ArrayList<>();
    for (ZoneName zone : ZONES) {
      Labels zoneLabels =
          markedNow.contains(zone.value())
              ? Labels.empty().with(Labels.STATE, Labels.STATE_OUT)
              : Labels.empty();
      objects.add(new Zone(zone, zoneLabels));
      for (int i = 0; i < BACKENDS_PER_ZONE; i++) {
        BackendName name = new BackendName(zone + "-" + i);
        Labels labels =
            markedNow.contains(name.value())
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
      events.in(fault.atMs() * NS_PER_MS, () -> inject(fault));
    }
    events.in(NS_PER_MS, this::check);
    events.runUntil(plan.lengthMs() * NS_PER_MS);
    long refused = 0;
    for (SimulatedGateway gateway : network.gateways.values()) {
      refused += gateway.refused();
    }
    return new Outcome(
        backends.starts(),
        backends.fallbackStarts(),
        refused,
        backends.pastSlots(),
        backends.mostRunning(),
        pastColdMs);
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
    List<SimulatedGateway> alive = List.copyOf(network.gateways.values());
    SimulatedGateway target = alive.get(fault.target() % alive.size());
    SimulatedGateway other = alive.get((fault.target() + 1) % alive.size());
    long lengthNs = fault.lengthMs() * NS_PER_MS;
    BackendName backend =
        new BackendName(ZONES.get(fault.target() % 2) + "-" + fault.target() % BACKENDS_PER_ZONE);
    boolean lastGateways = alive.size() <= 2;
    switch (fault.kind()) {
      case STOP -> {
        if (!lastGateways && !target.leaving) {
          stop(target);
        }
      }
      case CRASH -> {
        if (!lastGateways) {
          target.crash();
          network.leave(target);
          events.in(lengthNs, () -> start(target.id.name()));
        }
      }
      case ZONE_OUT -> mark(ZONES.get(fault.target() % 2).value(), lengthNs);
      case BACKEND_LEAVES -> mark(backend.value(), lengthNs);
      case BACKEND_COLD -> backends.fallCold(backend);
      case PAUSE -> network.pause(target, lengthNs);
      case PARTITION -> {
        network.partition(Set.of(target.id.name(), other.id.name()));
        events.in(lengthNs, () -> network.partition(Set.of()));
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
    target.leaving = true;
    target.runtime.prepareStop();
    network.refreshAll();
    events.in(500 * NS_PER_MS, () -> leaveWhenIdle(target));
  }

  private void leaveWhenIdle(SimulatedGateway target) {
    if (!target.alive) {
      return;
    }
    if (!target.isIdle()) {
      events.in(20 * NS_PER_MS, () -> leaveWhenIdle(target));
      return;
    }
    network.leave(target);
    events.in(200 * NS_PER_MS, () -> start(target.id.name()));
  }

  private void mark(String name, long lengthNs) {
    if (!marked.add(name)) {
      return;
    }
    publish();
    events.in(
        lengthNs,
        () -> {
          marked.remove(name);
          publish();
        });
  }

  private void publish() {
    revision++;
    snapshot = snapshot(marked);
    ConfigSnapshot published = snapshot;
    for (SimulatedGateway gateway : network.gateways.values()) {
      events.in(
          random.nextInt(300) * NS_PER_MS,
          () -> gateway.whenRunning(() -> take(gateway, published)));
    }
  }

  private static void take(SimulatedGateway gateway, ConfigSnapshot published) {
    if (published.revision() > gateway.snapshot.revision()) {
      gateway.snapshot = published;
      gateway.runtime.onSnapshot(published);
    }
  }

  /** Looks at every backend server as the brokers in office see it, and as it is. */
  private void check() {
    List<BrokerStatus> brokers = new ArrayList<>();
    for (SimulatedGateway gateway : network.gateways.values()) {
      brokers.addAll(gateway.runtime.status().brokers());
    }
    for (ZoneName zone : ZONES) {
      PoolId pool = new PoolId(new ServiceName("watch"), zone);
      checkPool(brokers.stream().filter(status -> status.pool().equals(pool)).toList());
    }
    events.in(NS_PER_MS, this::check);
  }

  private void checkPool(List<BrokerStatus> brokers) {
    if (plan.orderly() && brokers.size() == 1 && !brokers.getFirst().recovering()) {
      checkTable(brokers.getFirst());
    }
    Map<BackendName, Integer> limits = new HashMap<>();
    for (BrokerStatus status : brokers) {
      for (BrokerStatus.BackendStatus row : status.backends()) {
        limits.merge(row.backend(), row.limit(), Math::max);
      }
    }
    limits.forEach(this::checkCold);
  }

  /** A backend server that is cold for longer than any call lasts runs one call at a time. */
  private void checkCold(BackendName backend, int limit) {
    if (limit > 1) {
      coldSinceNs.put(backend, events.nowNs());
      return;
    }
    long sinceNs = coldSinceNs.computeIfAbsent(backend, _ -> events.nowNs());
    if (events.nowNs() - sinceNs < LONGEST_CALL_MS * NS_PER_MS || backends.running(backend) <= 1) {
      return;
    }
    pastColdMs++;
    if (plan.orderly()) {
      throw new AssertionError(
          "%s is cold and runs %d calls".formatted(backend, backends.running(backend)));
    }
  }

  /** With one broker that knows its whole table, every call that runs is in the table. */
  private void checkTable(BrokerStatus status) {
    for (BrokerStatus.BackendStatus row : status.backends()) {
      long running = backends.brokered(row.backend());
      if (running > row.out()) {
        throw new AssertionError(
            "%s runs %d calls, its broker knows %d".formatted(row.backend(), running, row.out()));
      }
    }
    if (backends.pastSlots() > 0) {
      throw new AssertionError("slots exceeded in an orderly run");
    }
  }

  /** Runs a plan; returns how it failed, if it did. */
  static Optional<Failure> failure(FaultPlan plan) {
    LeaseRandomRun run = new LeaseRandomRun(plan);
    try {
      run.run();
      return Optional.empty();
    } catch (AssertionError | RuntimeException e) {
      long atMs = run.events.nowNs() / NS_PER_MS;
      return Optional.of(new Failure(plan, atMs, String.valueOf(e), run.events.lastTrace()));
    }
  }

  /** Removes what a failing run does not need. */
  static Failure shortest(Failure failure) {
    Failure best = failure(failure.plan().shorter(failure.atMs() + 10)).orElse(failure);
    best = failure(best.plan().lossless()).orElse(best);
    int before;
    do {
      before = best.plan().faults().size();
      for (int i = before - 1; i >= 0; i--) {
        best = failure(best.plan().without(i)).orElse(best);
      }
    } while (best.plan().faults().size() < before);
    return best;
  }

  /** Runs plans from a seed on, and prints the first that fails in its shortest form. */
  public static void main(String[] args) {
    long firstSeed = Long.parseLong(args[0]);
    int runs = Integer.parseInt(args[1]);
    long lengthMs = Long.parseLong(args[2]);
    List<FaultKind> kinds = new ArrayList<>();
    for (int i = 3; i < args.length; i++) {
      kinds.add(FaultKind.valueOf(args[i]));
    }
    Outcome total = new Outcome(0, 0, 0, 0, 0, 0);
    for (long seed = firstSeed; seed < firstSeed + runs; seed++) {
      if (kinds.isEmpty()) {
        report(FaultPlan.draw(seed, true, lengthMs));
        total = total.plus(report(FaultPlan.draw(seed, false, lengthMs)));
      } else {
        total = total.plus(report(FaultPlan.draw(seed, false, lengthMs, kinds)));
      }
    }
    System.out.println("all runs that were not orderly: " + total);
  }

  private static Outcome report(FaultPlan plan) {
    String name = "seed " + plan.seed() + (plan.orderly() ? " orderly" : "");
    Optional<Failure> failure = failure(plan);
    if (failure.isPresent()) {
      Failure shortest = shortest(failure.get());
      shortest.trace().forEach(System.out::println);
      System.out.println(name + " failed: " + shortest.message());
      System.out.println("at " + shortest.atMs() + " ms of " + shortest.plan());
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
