package org.cowslipstair.logic.idempotency;

/**
 * Settings of {@link IdempotencyGuard}.
 *
 * @param keyLifetimeMs time after which an acquired key expires
 * @param maxKeysPerSecond maximum rate at which one gateway acquires keys
 * @param maxKeyBurst maximum number of keys that one gateway acquires in a burst
 * @param maxStoreWritesPerKey maximum number of writes tried to acquire one key
 * @param sendReserveNs part of a call's time that is reserved for the call itself
 * @param maxPendingReleases maximum number of releases waiting to be retried
 * @param releaseRetryIntervalNs minimum interval between retries of those releases
 * @param keysPerSweep number of keys that this gateway requests between two sweeps
 * @param maxDeletesPerSweep maximum number of expired attempts that one sweep deletes
 */
public record IdempotencySettings(
    long keyLifetimeMs,
    double maxKeysPerSecond,
    double maxKeyBurst,
    int maxStoreWritesPerKey,
    long sendReserveNs,
    int maxPendingReleases,
    long releaseRetryIntervalNs,
    int keysPerSweep,
    int maxDeletesPerSweep) {
  private static final long MS_PER_DAY = 24 * 60 * 60 * 1_000L;
  private static final long NS_PER_MS = 1_000_000L;

  /** Returns the default settings. */
  public static IdempotencySettings defaults() {
    return new IdempotencySettings(
        MS_PER_DAY, 50, 100, 6, 20 * NS_PER_MS, 1_000, 1_000 * NS_PER_MS, 500, 1_000);
  }
}
