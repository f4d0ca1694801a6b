package org.cowslipstair.runtime.lease;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * What one randomised run does.
 *
 * @param orderly whether nothing fails but messages: no crash, pause, partition or lost connection
 */
record FaultPlan(
    long seed,
    int gateways,
    long lengthMs,
    boolean orderly,
    double dropRate,
    double repeatRate,
    List<Fault> faults) {
  /** One fault or operator's change. */
  record Fault(long atMs, FaultKind kind, int target, long lengthMs) {}

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

    private final boolean orderly;

    FaultKind(boolean orderly) {
      this.orderly = orderly;
    }
  }

  /** Draws a plan from a seed, with all kinds of fault or only the orderly ones. */
  static FaultPlan draw(long seed, boolean orderly, long lengthMs) {
    List<FaultKind> kinds = new ArrayList<>(List.of(FaultKind.values()));
    kinds.removeIf(kind -> orderly && !kind.orderly);
    return draw(seed, orderly, lengthMs, kinds);
  }

  /** Draws a plan with some kinds of fault. */
  static FaultPlan draw(long seed, boolean orderly, long lengthMs, List<FaultKind> kinds) {
    Random random = new Random(seed);
    List<Fault> faults = new ArrayList<>();
    long atMs = 1_000;
    while (atMs < lengthMs) {
      FaultKind kind = kinds.get(random.nextInt(kinds.size()));
      faults.add(new Fault(atMs, kind, random.nextInt(1_000), 50 + random.nextInt(4_000)));
      atMs += random.nextInt(1_500);
    }
    double lossy = random.nextInt(3) * 0.002;
    int gateways = 3 + random.nextInt(4);
    return new FaultPlan(
        seed, gateways, lengthMs, orderly, lossy, random.nextInt(3) * 0.01, faults);
  }

  FaultPlan without(int index) {
    List<Fault> fewer = new ArrayList<>(faults);
    fewer.remove(index);
    return new FaultPlan(seed, gateways, lengthMs, orderly, dropRate, repeatRate, fewer);
  }

  FaultPlan shorter(long newLengthMs) {
    List<Fault> fewer = new ArrayList<>(faults);
    fewer.removeIf(fault -> fault.atMs() > newLengthMs);
    return new FaultPlan(seed, gateways, newLengthMs, orderly, dropRate, repeatRate, fewer);
  }

  FaultPlan lossless() {
    return new FaultPlan(seed, gateways, lengthMs, orderly, 0, 0, faults);
  }
}
