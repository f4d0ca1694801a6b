package org.cowslipstair.soak.check;

import java.util.ArrayList;
import java.util.List;

/**
 * Remembers when the gateways, their links or the store were disturbed. Time bounds hold only where
 * nothing was for a while. Safe for use by many threads.
 */
public final class Calm {
  private final long contactNs;
  private final List<long[]> disturbances = new ArrayList<>();

  /**
   * Creates a memory.
   *
   * @param contactMs time after a disturbance until bounds hold again
   */
  public Calm(long contactMs) {
    this.contactNs = contactMs * 1_000_000L;
  }

  /** Notes the begin of a disturbance; the result ends it. */
  public synchronized Disturbance disturbed(long nowNs) {
    long[] span = {nowNs, Long.MAX_VALUE};
    disturbances.add(span);
    return endNs -> {
      synchronized (this) {
        span[1] = endNs;
      }
    };
  }

  /** A disturbance that goes on. */
  public interface Disturbance {
    /** Notes its end. */
    void endedAt(long ns);
  }

  /** Returns whether bounds held in all of a span. */
  public synchronized boolean isCalm(long fromNs, long toNs) {
    for (long[] span : disturbances) {
      boolean over = span[1] != Long.MAX_VALUE && span[1] + contactNs < fromNs;
      if (!over && span[0] <= toNs) {
        return false;
      }
    }
    return true;
  }
}
