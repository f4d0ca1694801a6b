package org.cowslipstair.runtime.config;

import java.util.random.RandomGenerator;

/**
 * Exponential backoff after failed calls to the store. The mean delay doubles up to a maximum, and
 * each delay is uniformly distributed between half and one and a half times the mean, so that
 * gateways whose calls failed together do not retry together.
 *
 * @param initialMeanMs mean delay after the first failure
 * @param maxMeanMs longest mean delay
 */
public record StoreBackoff(long initialMeanMs, long maxMeanMs) {
  private static final long INITIAL_MEAN_MS = 250;
  private static final long MAX_MEAN_MS = 10_000;
  private static final int MAX_DOUBLINGS = 20;

  /** Returns the default delays. */
  public static StoreBackoff defaults() {
    return new StoreBackoff(INITIAL_MEAN_MS, MAX_MEAN_MS);
  }

  /** Returns the delay after a number of consecutive failures, 0 if there was none. */
  public long delayMs(int consecutiveFailures, RandomGenerator random) {
    if (consecutiveFailures <= 0) {
      return 0;
    }
    long meanMs =
        Math.min(maxMeanMs, initialMeanMs << Math.min(MAX_DOUBLINGS, consecutiveFailures - 1));
    return meanMs / 2 + random.nextLong(meanMs + 1);
  }
}
