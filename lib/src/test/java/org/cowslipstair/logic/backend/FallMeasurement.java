package org.cowslipstair.logic.backend;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Queue;
import java.util.Random;
import org.cowslipstair.logic.backend.SimulatedBackend.Ended;
import org.cowslipstair.logic.backend.SimulatedBackend.Fall;
import org.cowslipstair.logic.backend.SimulatedBackend.ServiceTime;
import org.cowslipstair.model.config.BackendName;

/**
 * Measures in virtual time how long a fall into cold goes unnoticed, and how often limits fall
 * without cause. Run its main method; it prints a table in Markdown.
 */
public final class FallMeasurement {
  private static final int MEAN_MS = 20;
  private static final int TICK_MS = 5;
  private static final int WARM_UP_MS = 20_000;
  private static final int WATCH_MS = 20_000;
  private static final int QUIET_MS = 300_000;
  private static final int FALLS = 200;
  private final Shape shape;
  private final PoolBackends pool;
  private final List<SimulatedBackend> backends = new ArrayList<>();
  private final Queue<Long> waiting = new ArrayDeque<>();
  private final Random random;
  private final double callsPerMs;
  private long nowMs;
  private long lease;
  private long drops;
  private long limitSum;

  private FallMeasurement(Shape shape, boolean noisy, double load, long seed) {
    this.shape = shape;
    random = new Random(seed);
    pool = Backends.pool(BackendTrackerSettings.defaults(), seed);
    callsPerMs = load * shape.backends() * shape.slots() / MEAN_MS;
    for (int i = 0; i < shape.backends(); i++) {
      backends.add(new SimulatedBackend(i, shape.slots(), shape.serviceTime(), noisy, random));
    }
    pool.configure(
        Backends.servers(shape.backends(), shape.slots()), Backends.names(shape.backends()), 0);
  }

  private record Shape(int backends, int slots, ServiceTime serviceTime) {}

  /**
   * Prints the measurements.
   *
   * @param args number of backend servers, slots of each, and distribution of service times
   */
  public static void main(String[] args) {
    Shape shape =
        new Shape(
            Integer.parseInt(args[0]), Integer.parseInt(args[1]), ServiceTime.valueOf(args[2]));
    quiet(shape);
    System.out.println(
        "| fall | noticed after ms, p50 | p99 | calls over one at a time until noticed, mean | most |"
            + " after that, mean | most | not noticed |");
    System.out.println("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for (Fall fall : Fall.values()) {
      if (fall != Fall.NONE) {
        falls(shape, fall);
      }
    }
  }

  private static void quiet(Shape shape) {
    System.out.println("| noise | slots busy | limits fallen per minute | mean limit |");
    System.out.println("| --- | --- | --- | --- |");
    for (boolean noisy : new boolean[] {false, true}) {
      for (double load : new double[] {0.4, 0.6, 0.85}) {
        quiet(shape, noisy, load);
      }
    }
    System.out.println();
  }

  private static void quiet(Shape shape, boolean noisy, double load) {
    FallMeasurement run = new FallMeasurement(shape, noisy, load, 1);
    run.runFor(WARM_UP_MS);
    run.drops = 0;
    run.limitSum = 0;
    run.runFor(QUIET_MS);
    double perMinute = run.drops * 60_000.0 / QUIET_MS;
    double mean = (double) run.limitSum / QUIET_MS / shape.backends();
    System.out.printf(Locale.ROOT, "| %s | %.2f | %.1f | %.2f |%n", noisy, load, perMinute, mean);
  }

  private static void falls(Shape shape, Fall fall) {
    long[] noticedMs = new long[FALLS];
    long[] before = new long[FALLS];
    long[] after = new long[FALLS];
    int missed = 0;
    for (int i = 0; i < FALLS; i++) {
      FallMeasurement run = new FallMeasurement(shape, true, 0.6, 100 + i);
      run.runFor(WARM_UP_MS);
      SimulatedBackend victim = run.backends.getFirst();
      while (run.pool.limit(victim.name) < shape.slots()) {
        run.runFor(1);
      }
      victim.fall(fall, run.nowMs);
      long fellAtMs = run.nowMs;
      while (run.pool.limit(victim.name) > 1 && run.nowMs < fellAtMs + WATCH_MS) {
        run.runFor(1);
      }
      missed += run.pool.limit(victim.name) > 1 ? 1 : 0;
      noticedMs[i] = run.nowMs - fellAtMs;
      before[i] = victim.overColdCapacity;
      run.runFor((int) (fellAtMs + WATCH_MS - run.nowMs));
      after[i] = victim.overColdCapacity - before[i];
    }
    Arrays.sort(noticedMs);
    System.out.printf(
        Locale.ROOT,
        "| %s | %d | %d | %.2f | %d | %.2f | %d | %d |%n",
        fall.name().toLowerCase(Locale.ROOT).replace('_', ' '),
        noticedMs[FALLS / 2],
        noticedMs[FALLS - 2],
        Arrays.stream(before).average().orElse(0),
        Arrays.stream(before).max().orElse(0),
        Arrays.stream(after).average().orElse(0),
        Arrays.stream(after).max().orElse(0),
        missed);
  }

  private void runFor(int durationMs) {
    for (int i = 0; i < durationMs; i++) {
      nowMs++;
      int[] before = backends.stream().mapToInt(b -> pool.limit(b.name)).toArray();
      step();
      for (int b = 0; b < shape.backends(); b++) {
        int limit = pool.limit(backends.get(b).name);
        limitSum += limit;
        drops += limit < before[b] ? 1 : 0;
      }
    }
  }

  private void step() {
    for (SimulatedBackend backend : backends) {
      for (Ended ended : backend.move(nowMs)) {
        pool.ended(backend.name, ended.lease(), ended.report(), nowNs());
      }
    }
    if (nowMs % TICK_MS == 0) {
      for (BackendName probed : pool.tick(nowNs())) {
        SimulatedBackend backend =
            backends.stream().filter(b -> b.name.equals(probed)).findFirst().orElseThrow();
        pool.probed(probed, Optional.of(backend.probe(nowMs)), nowNs());
      }
    }
    if (random.nextDouble() < callsPerMs % 1) {
      waiting.add(nowMs);
    }
    for (int i = 0; i < (int) callsPerMs; i++) {
      waiting.add(nowMs);
    }
    waiting.removeIf(arrivedMs -> nowMs - arrivedMs > 1_000);
    while (!waiting.isEmpty() && startOne()) {
      waiting.remove();
    }
  }

  private boolean startOne() {
    int first = random.nextInt(shape.backends());
    Optional<SimulatedBackend> best = Optional.empty();
    int mostFree = 0;
    for (int i = 0; i < shape.backends(); i++) {
      SimulatedBackend backend = backends.get((first + i) % shape.backends());
      int free = pool.limit(backend.name) - backend.inFlight();
      if (free > mostFree) {
        mostFree = free;
        best = Optional.of(backend);
      }
    }
    if (best.isEmpty()) {
      return false;
    }
    SimulatedBackend backend = best.get();
    lease++;
    pool.started(backend.name, lease, nowNs());
    backend
        .start(lease, nowMs)
        .ifPresent(ended -> pool.ended(backend.name, ended.lease(), ended.report(), nowNs()));
    return true;
  }

  private long nowNs() {
    return nowMs * Backends.NS_PER_MS;
  }
}
