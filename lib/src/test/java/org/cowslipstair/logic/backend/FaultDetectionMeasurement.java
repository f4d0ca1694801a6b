package org.cowslipstair.logic.backend;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Queue;
import java.util.Random;
import org.cowslipstair.logic.backend.SimulatedBackend.EndedCall;
import org.cowslipstair.logic.backend.SimulatedBackend.Fault;
import org.cowslipstair.logic.backend.SimulatedBackend.ServiceTimeDistribution;
import org.cowslipstair.model.config.BackendName;

/**
 * Measures in virtual time how long faults of a backend server go undetected, and how often limits
 * drop without a fault. The main method prints tables in Markdown.
 */
public final class FaultDetectionMeasurement {
  private static final int MEAN_SERVICE_TIME_MS = 20;
  private static final int TICK_MS = 5;
  private static final int WARM_UP_MS = 20_000;
  private static final int OBSERVATION_MS = 20_000;
  private static final int FAULT_FREE_MS = 300_000;
  private static final int RUNS_PER_FAULT = 200;
  private final PoolShape poolShape;
  private final PoolBackendTracker pool;
  private final List<SimulatedBackend> backends = new ArrayList<>();
  private final Queue<Long> waitingCallArrivalsMs = new ArrayDeque<>();
  private final Random random;
  private final double callsPerMs;
  private long nowMs;
  private long lastCallNumber;
  private long limitDrops;
  private long limitSum;

  private FaultDetectionMeasurement(PoolShape poolShape, boolean hasNoise, double load, long seed) {
    this.poolShape = poolShape;
    random = new Random(seed);
    pool = BackendFixtures.pool(BackendTrackerSettings.defaults(), seed);
    callsPerMs = load * poolShape.backends() * poolShape.slots() / MEAN_SERVICE_TIME_MS;
    for (int i = 0; i < poolShape.backends(); i++) {
      backends.add(
          new SimulatedBackend(i, poolShape.slots(), poolShape.serviceTime(), hasNoise, random));
    }
    pool.configure(
        BackendFixtures.servers(poolShape.backends(), poolShape.slots()),
        BackendFixtures.names(poolShape.backends()),
        0);
  }

  private record PoolShape(int backends, int slots, ServiceTimeDistribution serviceTime) {}

  /**
   * Prints the measurements.
   *
   * @param args number of backend servers, slots of each, and distribution of service times
   */
  public static void main(String[] args) {
    PoolShape poolShape =
        new PoolShape(
            Integer.parseInt(args[0]),
            Integer.parseInt(args[1]),
            ServiceTimeDistribution.valueOf(args[2]));
    measureFaultFree(poolShape);
    System.out.println(
        "| fall | noticed after ms, p50 | p99 | calls over one at a time until noticed, mean | most |"
            + " after that, mean | most | not noticed |");
    System.out.println("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for (Fault fault : Fault.values()) {
      if (fault != Fault.NONE) {
        measureFault(poolShape, fault);
      }
    }
  }

  private static void measureFaultFree(PoolShape poolShape) {
    System.out.println("| noise | slots busy | limits fallen per minute | mean limit |");
    System.out.println("| --- | --- | --- | --- |");
    for (boolean hasNoise : new boolean[] {false, true}) {
      for (double load : new double[] {0.4, 0.6, 0.85}) {
        measureFaultFree(poolShape, hasNoise, load);
      }
    }
    System.out.println();
  }

  private static void measureFaultFree(PoolShape poolShape, boolean hasNoise, double load) {
    FaultDetectionMeasurement run = new FaultDetectionMeasurement(poolShape, hasNoise, load, 1);
    run.runFor(WARM_UP_MS);
    run.limitDrops = 0;
    run.limitSum = 0;
    run.runFor(FAULT_FREE_MS);
    double dropsPerMinute = run.limitDrops * 60_000.0 / FAULT_FREE_MS;
    double meanLimit = (double) run.limitSum / FAULT_FREE_MS / poolShape.backends();
    System.out.printf(
        Locale.ROOT, "| %s | %.2f | %.1f | %.2f |%n", hasNoise, load, dropsPerMinute, meanLimit);
  }

  private static void measureFault(PoolShape poolShape, Fault fault) {
    long[] detectionMs = new long[RUNS_PER_FAULT];
    long[] overCapacityBefore = new long[RUNS_PER_FAULT];
    long[] overCapacityAfter = new long[RUNS_PER_FAULT];
    int undetected = 0;
    for (int i = 0; i < RUNS_PER_FAULT; i++) {
      FaultDetectionMeasurement run = new FaultDetectionMeasurement(poolShape, true, 0.6, 100 + i);
      run.runFor(WARM_UP_MS);
      SimulatedBackend faulty = run.backends.getFirst();
      while (run.pool.limit(faulty.name) < poolShape.slots()) {
        run.runFor(1);
      }
      faulty.injectFault(fault, run.nowMs);
      long faultAtMs = run.nowMs;
      while (run.pool.limit(faulty.name) > 1 && run.nowMs < faultAtMs + OBSERVATION_MS) {
        run.runFor(1);
      }
      undetected += run.pool.limit(faulty.name) > 1 ? 1 : 0;
      detectionMs[i] = run.nowMs - faultAtMs;
      overCapacityBefore[i] = faulty.overColdCapacity;
      run.runFor((int) (faultAtMs + OBSERVATION_MS - run.nowMs));
      overCapacityAfter[i] = faulty.overColdCapacity - overCapacityBefore[i];
    }
    Arrays.sort(detectionMs);
    System.out.printf(
        Locale.ROOT,
        "| %s | %d | %d | %.2f | %d | %.2f | %d | %d |%n",
        fault.name().toLowerCase(Locale.ROOT).replace('_', ' '),
        detectionMs[RUNS_PER_FAULT / 2],
        detectionMs[RUNS_PER_FAULT - 2],
        Arrays.stream(overCapacityBefore).average().orElse(0),
        Arrays.stream(overCapacityBefore).max().orElse(0),
        Arrays.stream(overCapacityAfter).average().orElse(0),
        Arrays.stream(overCapacityAfter).max().orElse(0),
        undetected);
  }

  private void runFor(int durationMs) {
    for (int i = 0; i < durationMs; i++) {
      nowMs++;
      int[] limitsBefore = backends.stream().mapToInt(b -> pool.limit(b.name)).toArray();
      step();
      for (int b = 0; b < poolShape.backends(); b++) {
        int limit = pool.limit(backends.get(b).name);
        limitSum += limit;
        limitDrops += limit < limitsBefore[b] ? 1 : 0;
      }
    }
  }

  private void step() {
    for (SimulatedBackend backend : backends) {
      for (EndedCall ended : backend.advance(nowMs)) {
        pool.callEnded(backend.name, ended.callNumber(), ended.report(), nowNs());
      }
    }
    if (nowMs % TICK_MS == 0) {
      for (BackendName probedName : pool.tick(nowNs())) {
        SimulatedBackend backend =
            backends.stream().filter(b -> b.name.equals(probedName)).findFirst().orElseThrow();
        pool.recordProbe(probedName, Optional.of(backend.probe(nowMs)), nowNs());
      }
    }
    if (random.nextDouble() < callsPerMs % 1) {
      waitingCallArrivalsMs.add(nowMs);
    }
    for (int i = 0; i < (int) callsPerMs; i++) {
      waitingCallArrivalsMs.add(nowMs);
    }
    waitingCallArrivalsMs.removeIf(arrivedMs -> nowMs - arrivedMs > 1_000);
    while (!waitingCallArrivalsMs.isEmpty() && tryStartCall()) {
      waitingCallArrivalsMs.remove();
    }
  }

  private boolean tryStartCall() {
    int first = random.nextInt(poolShape.backends());
    Optional<SimulatedBackend> best = Optional.empty();
    int mostFree = 0;
    for (int i = 0; i < poolShape.backends(); i++) {
      SimulatedBackend backend = backends.get((first + i) % poolShape.backends());
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
    lastCallNumber++;
    pool.callStarted(backend.name, lastCallNumber, nowNs());
    backend
        .start(lastCallNumber, nowMs)
        .ifPresent(
            ended -> pool.callEnded(backend.name, ended.callNumber(), ended.report(), nowNs()));
    return true;
  }

  private long nowNs() {
    return nowMs * BackendFixtures.NS_PER_MS;
  }
}
