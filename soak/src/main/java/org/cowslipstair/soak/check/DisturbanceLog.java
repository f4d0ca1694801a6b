package org.cowslipstair.soak.check;

import java.util.ArrayList;
import java.util.List;

/**
 * Records when the gateways, their links or the store were disturbed. Time limits apply only to
 * periods without a recent disturbance. Thread-safe.
 */
public final class DisturbanceLog {
  private final long settleNs;
  private final List<long[]> periods = new ArrayList<>();

  /**
   * Creates an empty log.
   *
   * @param settleMs time after the end of a disturbance until time limits apply again
   */
  public DisturbanceLog(long settleMs) {
    this.settleNs = settleMs * 1_000_000L;
  }

  /** Records the start of a disturbance; the returned object records its end. */
  public synchronized Disturbance recordStart(long nowNs) {
    long[] period = {nowNs, Long.MAX_VALUE};
    periods.add(period);
    return endNs -> {
      synchronized (this) {
        period[1] = endNs;
      }
    };
  }

  /** A disturbance that has started. */
  public interface Disturbance {
    /** Records the end of the disturbance. */
    void recordEnd(long ns);
  }

  /** Returns whether time limits applied throughout a period. */
  public synchronized boolean isUndisturbed(long fromNs, long toNs) {
    for (long[] period : periods) {
      boolean hasExpired = period[1] != Long.MAX_VALUE && period[1] + settleNs < fromNs;
      if (!hasExpired && period[0] <= toNs) {
        return false;
      }
    }
    return true;
  }
}
