package org.cowslipstair.edge.log;

import org.cowslipstair.port.MonotonicClock;

/** Allows a number of lines each second and counts the others. Not safe for use by many threads. */
final class LineRate {
  private static final long NS_PER_SECOND = 1_000_000_000L;

  private final int perSecond;
  private final MonotonicClock clock;
  private long secondStartNs;
  private int taken;
  private long leftOut;

  LineRate(int perSecond, MonotonicClock clock) {
    this.perSecond = perSecond;
    this.clock = clock;
    this.secondStartNs = clock.nowNs();
  }

  /** Returns whether another line may be written. */
  boolean tryTake() {
    long nowNs = clock.nowNs();
    if (nowNs - secondStartNs >= NS_PER_SECOND) {
      secondStartNs = nowNs;
      taken = 0;
    }
    if (taken >= perSecond) {
      leftOut++;
      return false;
    }
    taken++;
    return true;
  }

  /** Returns the lines left out since the last call. */
  long takeLeftOut() {
    long count = leftOut;
    leftOut = 0;
    return count;
  }
}
