package org.cowslipstair.logic.traffic;

/**
 * Tracks the last outage of the store as seen by this gateway. Entries of backend servers may
 * expire in the store during an outage; they are expected to be renewed soon after its end, which
 * is the first contact for any collection.
 */
public final class OutageTracker {
  /** Time after an outage in which expired entries may be renewed. */
  public static final long RENEWAL_GRACE_NS = 2_000_000_000L;

  /** Shorter outages let no entry expire, because that takes three missed reports. */
  private static final long MIN_EXPIRING_OUTAGE_NS = 2_000_000_000L;

  private boolean isInOutage;
  private long outageStartedNs;
  private boolean hasExpiringOutage;
  private long outageEndedNs;

  /** Records a loss of contact; repeated calls have no effect. */
  public void recordLoss(long nowNs) {
    if (!isInOutage) {
      isInOutage = true;
      outageStartedNs = nowNs;
    }
  }

  /** Records contact; only the first contact after a loss has an effect. */
  public void recordContact(long nowNs) {
    if (isInOutage) {
      isInOutage = false;
      if (nowNs - outageStartedNs >= MIN_EXPIRING_OUTAGE_NS) {
        hasExpiringOutage = true;
        outageEndedNs = nowNs;
      }
    }
  }

  /**
   * Returns the remaining time in which entries that are missing now may be renewed; 0 if there is
   * none.
   */
  public long graceNs(long nowNs) {
    return hasExpiringOutage ? Math.max(0, outageEndedNs + RENEWAL_GRACE_NS - nowNs) : 0;
  }
}
