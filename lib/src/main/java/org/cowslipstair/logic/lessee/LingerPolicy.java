package org.cowslipstair.logic.lessee;

/**
 * Determines how long leases of one pool are kept idle: only while enough slots of the pool are
 * free and this gateway's calls are frequent enough to reuse them.
 */
final class LingerPolicy {
  private static final double INTERVAL_WEIGHT = 1.0 / 8;
  private final LesseeSettings settings;
  private double meanIntervalNs;
  private long lastCallAtNs;
  private boolean hasRecordedCall;
  private int freeSlots;
  private int totalSlots;
  private long noLingerUntilNs = Long.MIN_VALUE;

  LingerPolicy(LesseeSettings settings) {
    this.settings = settings;
    meanIntervalNs = settings.longestLingerNs() * 2.0;
  }

  /** Records a call of this gateway. */
  void recordCall(long nowNs) {
    if (hasRecordedCall) {
      meanIntervalNs += INTERVAL_WEIGHT * (nowNs - lastCallAtNs - meanIntervalNs);
    }
    hasRecordedCall = true;
    lastCallAtNs = nowNs;
  }

  /** Sets the number of free slots of the pool. */
  void setFreeSlots(int slots) {
    freeSlots = slots;
  }

  /** Sets the total number of slots of the pool. */
  void setTotalSlots(int slots) {
    totalSlots = slots;
  }

  /** Records that the broker recalled idle leases. */
  void recordRecall(long nowNs) {
    noLingerUntilNs = nowNs + settings.recallQuietNs();
  }

  /** Returns how long a lease that becomes idle now is kept, in nanoseconds. */
  long lingerNs(long nowNs) {
    boolean isReuseUnlikely = meanIntervalNs > settings.longestLingerNs();
    boolean isPoolBusy = freeSlots <= 0 || freeSlots < settings.lingerFreeShare() * totalSlots;
    if (isPoolBusy || isReuseUnlikely || nowNs < noLingerUntilNs) {
      return 0;
    }
    long wantedNs = (long) (settings.lingerIntervals() * meanIntervalNs);
    return Math.min(wantedNs, settings.longestLingerNs());
  }
}
