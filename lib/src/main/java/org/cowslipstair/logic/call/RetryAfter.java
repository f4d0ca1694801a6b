package org.cowslipstair.logic.call;

import java.util.random.RandomGenerator;
import org.cowslipstair.model.call.NotRunReason;

/** Tells refused callers when to come back, spread out so that they do not come back together. */
final class RetryAfter {
  private final long middleMs;
  private final RandomGenerator random;

  RetryAfter(long middleMs, RandomGenerator random) {
    this.middleMs = middleMs;
    this.random = random;
  }

  /** Returns a time in milliseconds; 0 where another try is of no use. */
  long nextMs(NotRunReason reason) {
    return switch (reason) {
      case NO_ROUTE, DUPLICATE_KEY, MISSING_KEY, CALLER_GONE -> 0;
      case NO_BACKEND,
          NO_FREE_SLOT,
          DEADLINE_TOO_CLOSE,
          BACKEND_SHED,
          BACKEND_UNREACHABLE,
          GATEWAY_STOPPING,
          GATEWAY_ISOLATED,
          NO_CONFIGURATION,
          STORE_UNAVAILABLE ->
          middleMs / 2 + random.nextLong(middleMs + 1);
    };
  }
}
