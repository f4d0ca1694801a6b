package org.cowslipstair.logic.lessee;

/**
 * How long an idle lease of one pool is kept: while the pool has free slots and the gateway's own
 * calls come often enough to use it.
 */
final class LingerPolicy {
  private static final double WEIGHT = 1.0 / 8;
  private final LesseeSettings settings;
  private double meanIntervalNs;
  private long lastCallNs;
  private boolean anyCall;
  private int free;
  private int slots;
  private long quietUntilNs = Long.MIN_VALUE;

  LingerPolicy(LesseeSettings settings) {
    this.settings = settings;
    meanIntervalNs = settings.longestLingerNs() * 2.0;
  }

  /** Counts a call of this gateway. */
  void called(long nowNs) {
    if (anyCall) {
      meanIntervalNs += WEIGHT * (nowNs - lastCallNs - meanIntervalNs);
    }
    anyCall = true;
    lastCallNs = nowNs;
  }

  /** Takes the number of free slots of the pool. */
  void free(int slots) {
    free = slots;
  }

  /** Takes the number of slots of the pool. */
  void slots(int total) {
    slots = total;
  }

  /** Takes note that the broker wants idle leases back. */
  void recalled(long nowNs) {
    quietUntilNs = nowNs + settings.recallQuietNs();
  }

  /** Returns how long a lease that becomes idle now is kept. */
  long lingerNs(long nowNs) {
    boolean unlikely = meanIntervalNs > settings.longestLingerNs();
    boolean scarce = free <= 0 || free < settings.lingerFreeShare() * slots;
    if (scarce || unlikely || nowNs < quietUntilNs) {
      return 0;
    }
    long wantedNs = (long) (settings.lingerIntervals() * meanIntervalNs);
    return Math.min(wantedNs, settings.longestLingerNs());
  }
}
