package org.cowslipstair.logic.backend;

/**
 * Settings of {@link PoolBackends}.
 *
 * @param probesPerSecond most probes that one backend server may get from all gateways together
 * @param successesPerStep successes at normal service time after which a limit rises by one
 * @param farAboveFactor multiple of the pool's 99th percentile that counts as a fall into cold
 * @param farAboveFloorNs service time below which nothing counts as far above the pool's
 * @param slowRunFactor multiple of the pool's 99th percentile above which a result is slow
 * @param slowRunLength successive slow results that count as a fall into cold
 * @param firstRetryNs wait before the first call after a shed answer or a second failure
 * @param longestRetryNs longest such wait
 * @param probeAfterSilenceNs time without results after which a backend server is probed
 * @param coldAfterSilenceNs time without results after which a backend server counts as cold
 */
public record BackendTrackerSettings(
    double probesPerSecond,
    int successesPerStep,
    double farAboveFactor,
    long farAboveFloorNs,
    double slowRunFactor,
    int slowRunLength,
    long firstRetryNs,
    long longestRetryNs,
    long probeAfterSilenceNs,
    long coldAfterSilenceNs) {
  private static final long NS_PER_MS = 1_000_000L;

  /** Returns the settings used where operators set nothing. */
  public static BackendTrackerSettings defaults() {
    return new BackendTrackerSettings(
        1.0,
        24,
        2.6,
        50 * NS_PER_MS,
        1.3,
        3,
        100 * NS_PER_MS,
        5_000 * NS_PER_MS,
        1_000 * NS_PER_MS,
        30_000 * NS_PER_MS);
  }

  /** Returns a copy with another probe budget. */
  public BackendTrackerSettings withProbesPerSecond(double newProbesPerSecond) {
    return new BackendTrackerSettings(
        newProbesPerSecond,
        successesPerStep,
        farAboveFactor,
        farAboveFloorNs,
        slowRunFactor,
        slowRunLength,
        firstRetryNs,
        longestRetryNs,
        probeAfterSilenceNs,
        coldAfterSilenceNs);
  }
}
