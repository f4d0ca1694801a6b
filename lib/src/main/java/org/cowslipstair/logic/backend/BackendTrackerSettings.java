package org.cowslipstair.logic.backend;

/**
 * Settings of {@link PoolBackendTracker}.
 *
 * @param probesPerSecond maximum rate of probes to one backend server by all gateways together
 * @param successesPerStep successes at normal service time after which a limit is raised by one
 * @param farAboveFactor multiple of the pool's 99th percentile beyond which a backend server is
 *     cold
 * @param farAboveFloorNs minimum service time that can count as far above the pool's
 * @param slowRunFactor multiple of the pool's 99th percentile above which a response is slow
 * @param slowRunLength number of consecutive slow responses after which a backend server is cold
 * @param firstRetryNs initial backoff after a shed call or a second consecutive failure
 * @param longestRetryNs maximum backoff
 * @param probeAfterSilenceNs time without call results after which a backend server is probed
 * @param coldAfterSilenceNs time without call results after which a backend server is cold
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

  /** Returns the default settings. */
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

  /** Returns a copy with a different probe rate. */
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
