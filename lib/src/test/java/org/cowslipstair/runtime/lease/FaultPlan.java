package org.cowslipstair.runtime.lease;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * Parameters of one randomised run.
 *
 * @param isGraceful whether the run has no crash, pause, partition or lost connection; single
 *     messages may still be lost
 */
record FaultPlan(
    long seed,
    int gateways,
    long durationMs,
    boolean isGraceful,
    double dropRate,
    double duplicateRate,
    List<Fault> faults) {
  /** One fault or change by an operator. */
  record Fault(long atMs, FaultKind kind, int target, long durationMs) {}

  /** Kinds of fault. */
  enum FaultKind {
    STOP(true),
    ZONE_OUT(true),
    BACKEND_LEAVES(true),
    BACKEND_COLD(true),
    CRASH(false),
    PAUSE(false),
    PARTITION(false),
    CONNECTION_LOST(false);

    private final boolean isGraceful;

    FaultKind(boolean isGraceful) {
      this.isGraceful = isGraceful;
    }
  }

  /** Generates a plan from a seed, with all kinds of fault or only the graceful ones. */
  static FaultPlan generate(long seed, boolean isGraceful, long durationMs) {
    List<FaultKind> kinds = new ArrayList<>(List.of(FaultKind.values()));
    kinds.removeIf(kind -> isGraceful && !kind.isGraceful);
    return generate(seed, isGraceful, durationMs, kinds);
  }

  /** Generates a plan with the given kinds of fault. */
  static FaultPlan generate(long seed, boolean isGraceful, long durationMs, List<FaultKind> kinds) {
    Random random = new Random(seed);
    List<Fault> faults = new ArrayList<>();
    long atMs = 1_000;
    while (atMs < durationMs) {
      FaultKind kind = kinds.get(random.nextInt(kinds.size()));
      faults.add(new Fault(atMs, kind, random.nextInt(1_000), 50 + random.nextInt(4_000)));
      atMs += random.nextInt(1_500);
    }
    double dropRate = random.nextInt(3) * 0.002;
    int gateways = 3 + random.nextInt(4);
    return new FaultPlan(
        seed, gateways, durationMs, isGraceful, dropRate, random.nextInt(3) * 0.01, faults);
  }

  FaultPlan withoutFault(int index) {
    List<Fault> remainingFaults = new ArrayList<>(faults);
    remainingFaults.remove(index);
    return new FaultPlan(
        seed, gateways, durationMs, isGraceful, dropRate, duplicateRate, remainingFaults);
  }

  FaultPlan shortenedTo(long newDurationMs) {
    List<Fault> remainingFaults = new ArrayList<>(faults);
    remainingFaults.removeIf(fault -> fault.atMs() > newDurationMs);
    return new FaultPlan(
        seed, gateways, newDurationMs, isGraceful, dropRate, duplicateRate, remainingFaults);
  }

  FaultPlan withoutMessageLoss() {
    return new FaultPlan(seed, gateways, durationMs, isGraceful, 0, 0, faults);
  }
}
