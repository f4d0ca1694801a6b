package org.cowslipstair.runtime.config;

import java.util.random.RandomGenerator;

/**
 * Delays between failed calls of the store. They double up to a cap, and are spread evenly from
 * half to one and a half of that, so that gateways that failed together do not return together.
 *
 * @param firstMs mean delay after the first failure
 * @param capMs longest mean delay
 */
public record StoreBackoff(long firstMs, long capMs) {
  private static final long FIRST_MS = 250;
  private static final long CAP_MS = 10_000;
  private static final int MAX_DOUBLINGS = 20;

  /** Returns the default delays. */
  public static StoreBackoff defaults() {
    return new StoreBackoff(FIRST_MS, CAP_MS);
  }

  /** Returns the delay after a number of failures in a row. */
  public long delayMs(int failures, RandomGenerator random) {
    if (failures <= 0) {
      return 0;
    }
    long meanMs = Math.min(capMs, firstMs << Math.min(MAX_DOUBLINGS, failures - 1));
    return meanMs / 2 + random.nextLong(meanMs + 1);
  }
}
