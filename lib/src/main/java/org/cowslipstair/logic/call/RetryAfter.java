package org.cowslipstair.logic.call;

import java.util.random.RandomGenerator;
import org.cowslipstair.model.call.NotRunReason;

/**
 * Computes the retry delay for refused callers, with jitter so that they do not all retry at the
 * same time.
 */
final class RetryAfter {
  private final long meanMs;
  private final RandomGenerator random;

  RetryAfter(long meanMs, RandomGenerator random) {
    this.meanMs = meanMs;
    this.random = random;
  }

  /** Returns the delay in milliseconds; 0 if a retry is of no use. */
  long nextMs(NotRunReason reason) {
    return switch (reason) {
      case NO_ROUTE, UNKNOWN_KEY, DUPLICATE_KEY, MISSING_KEY, CALLER_GONE -> 0;
      case NO_BACKEND,
          NO_FREE_SLOT,
          RATE_LIMITED,
          BACKENDS_PAUSED,
          DEADLINE_TOO_CLOSE,
          BACKEND_SHED,
          BACKEND_UNREACHABLE,
          CRASHES_BACKENDS,
          GATEWAY_BUSY,
          GATEWAY_STOPPING,
          GATEWAY_ISOLATED,
          NO_CONFIGURATION,
          CONFIGURATION_OUTDATED,
          OVER_QUOTA,
          STORE_UNAVAILABLE ->
          meanMs / 2 + random.nextLong(meanMs + 1);
    };
  }
}
