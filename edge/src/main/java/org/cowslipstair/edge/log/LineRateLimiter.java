package org.cowslipstair.edge.log;

import org.cowslipstair.port.MonotonicClock;

/**
 * Allows a number of lines per second and counts the lines skipped beyond that. Not thread-safe.
 */
final class LineRateLimiter {
  private static final long NS_PER_SECOND = 1_000_000_000L;

  private final int linesPerSecond;
  private final MonotonicClock clock;
  private long secondStartNs;
  private int acquired;
  private long skipped;

  LineRateLimiter(int linesPerSecond, MonotonicClock clock) {
    this.linesPerSecond = linesPerSecond;
    this.clock = clock;
    this.secondStartNs = clock.nowNs();
  }

  /** Returns whether another line may be written now; otherwise counts it as skipped. */
  boolean tryAcquire() {
    long nowNs = clock.nowNs();
    if (nowNs - secondStartNs >= NS_PER_SECOND) {
      secondStartNs = nowNs;
      acquired = 0;
    }
    if (acquired >= linesPerSecond) {
      skipped++;
      return false;
    }
    acquired++;
    return true;
  }

  /** Returns the number of lines skipped since the last call. */
  long drainSkipped() {
    long count = skipped;
    skipped = 0;
    return count;
  }
}
