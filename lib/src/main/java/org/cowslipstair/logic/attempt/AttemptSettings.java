package org.cowslipstair.logic.attempt;

/**
 * Settings of {@link AttemptGuard}.
 *
 * @param keptMs time for which a used key is remembered
 * @param attemptsPerSecond most keys that one gateway takes in a second
 * @param burst keys that one gateway may take at once
 * @param maxStoreCalls most calls to the store for one key
 * @param sendReserveNs part of a call's time that is left for the call itself
 * @param maxPending most releases that wait for the store
 * @param pendingRetryNs shortest time between two tries of those releases
 * @param keysPerSweep keys that this gateway takes between two sweeps
 * @param maxDeletesPerSweep most expired attempts that one sweep removes
 */
public record AttemptSettings(
    long keptMs,
    double attemptsPerSecond,
    double burst,
    int maxStoreCalls,
    long sendReserveNs,
    int maxPending,
    long pendingRetryNs,
    int keysPerSweep,
    int maxDeletesPerSweep) {
  private static final long MS_PER_DAY = 24 * 60 * 60 * 1_000L;
  private static final long NS_PER_MS = 1_000_000L;

  /** Returns the settings used where operators set nothing. */
  public static AttemptSettings defaults() {
    return new AttemptSettings(
        MS_PER_DAY, 50, 100, 6, 20 * NS_PER_MS, 1_000, 1_000 * NS_PER_MS, 500, 1_000);
  }
}
