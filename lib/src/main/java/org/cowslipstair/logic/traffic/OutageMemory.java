package org.cowslipstair.logic.traffic;

/**
 * Remembers the last outage of the store as this gateway saw it. Entries of backend servers may
 * lapse meanwhile and are back soon after its end, counted from the first contact with any
 * collection.
 */
public final class OutageMemory {
  /** Time after an outage in which entries that lapsed may come back. */
  public static final long RETURN_NS = 2_000_000_000L;

  /** An outage shorter than this lets no entry lapse: three missed reports take longer. */
  private static final long LAPSING_NS = 2_000_000_000L;

  private boolean isOut;
  private long outSinceNs;
  private boolean anyOutage;
  private long endedNs;

  /** Notes that contact was lost; repeated calls change nothing. */
  public void lost(long nowNs) {
    if (!isOut) {
      isOut = true;
      outSinceNs = nowNs;
    }
  }

  /** Notes contact; only the first after a loss counts. */
  public void contact(long nowNs) {
    if (isOut) {
      isOut = false;
      if (nowNs - outSinceNs >= LAPSING_NS) {
        anyOutage = true;
        endedNs = nowNs;
      }
    }
  }

  /** Returns the time for which entries that are missing now may still come back, 0 if none. */
  public long graceNs(long nowNs) {
    return anyOutage ? Math.max(0, endedNs + RETURN_NS - nowNs) : 0;
  }
}
