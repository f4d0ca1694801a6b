package org.cowslipstair.standins.backend;

/**
 * Behaviour of a backend server stand-in; may be replaced while it runs.
 *
 * @param slots calls that run at once
 * @param maxQueue calls that wait for a slot before others are shed; -1 for any number
 * @param slowFactor how many times longer calls take
 * @param draining whether new calls are refused as not run while running ones end
 * @param shedding whether all new calls are refused as not run
 * @param errorPercent share of the calls that fail at once with status 500
 * @param cutPercent share of the answers that are cut off before their end
 * @param cancelNoticeMs time between two looks whether the caller closed its connection
 * @param connectDelayUs time by which the first request of a connection is late
 */
public record BackendBehaviour(
    int slots,
    int maxQueue,
    ServiceTime serviceTime,
    double slowFactor,
    Noise noise,
    ColdStart coldStart,
    Reports reports,
    boolean draining,
    boolean shedding,
    int errorPercent,
    int cutPercent,
    long cancelNoticeMs,
    long connectDelayUs) {
  private static final long DEFAULT_CANCEL_NOTICE_MS = 10;

  /** Returns a healthy backend server without bounds on its queue. */
  public static BackendBehaviour healthy(int slots, ServiceTime serviceTime) {
    return new BackendBehaviour(
        slots,
        -1,
        serviceTime,
        1,
        Noise.none(),
        ColdStart.standard(),
        Reports.truthful(),
        false,
        false,
        0,
        0,
        DEFAULT_CANCEL_NOTICE_MS,
        0);
  }

  /** Returns a copy with another bound on the queue. */
  public BackendBehaviour withMaxQueue(int newMaxQueue) {
    return copy(newMaxQueue, slowFactor, noise, coldStart, reports, draining, shedding);
  }

  /** Returns a copy that is slower or faster. */
  public BackendBehaviour withSlowFactor(double newSlowFactor) {
    return copy(maxQueue, newSlowFactor, noise, coldStart, reports, draining, shedding);
  }

  /** Returns a copy with other noise. */
  public BackendBehaviour withNoise(Noise newNoise) {
    return copy(maxQueue, slowFactor, newNoise, coldStart, reports, draining, shedding);
  }

  /** Returns a copy with another cold start. */
  public BackendBehaviour withColdStart(ColdStart newColdStart) {
    return copy(maxQueue, slowFactor, noise, newColdStart, reports, draining, shedding);
  }

  /** Returns a copy with other reports. */
  public BackendBehaviour withReports(Reports newReports) {
    return copy(maxQueue, slowFactor, noise, coldStart, newReports, draining, shedding);
  }

  /** Returns a copy that drains or not. */
  public BackendBehaviour withDraining(boolean newDraining) {
    return copy(maxQueue, slowFactor, noise, coldStart, reports, newDraining, shedding);
  }

  /** Returns a copy that sheds or not. */
  public BackendBehaviour withShedding(boolean newShedding) {
    return copy(maxQueue, slowFactor, noise, coldStart, reports, draining, newShedding);
  }

  /** Returns a copy in which shares of the calls fail or are cut off. */
  public BackendBehaviour withFailures(int newErrorPercent, int newCutPercent) {
    return new BackendBehaviour(
        slots,
        maxQueue,
        serviceTime,
        slowFactor,
        noise,
        coldStart,
        reports,
        draining,
        shedding,
        newErrorPercent,
        newCutPercent,
        cancelNoticeMs,
        connectDelayUs);
  }

  /** Returns a copy whose connections take longer to open. */
  public BackendBehaviour withConnectDelayUs(long newConnectDelayUs) {
    return new BackendBehaviour(
        slots,
        maxQueue,
        serviceTime,
        slowFactor,
        noise,
        coldStart,
        reports,
        draining,
        shedding,
        errorPercent,
        cutPercent,
        cancelNoticeMs,
        newConnectDelayUs);
  }

  private BackendBehaviour copy(
      int newMaxQueue,
      double newSlowFactor,
      Noise newNoise,
      ColdStart newColdStart,
      Reports newReports,
      boolean newDraining,
      boolean newShedding) {
    return new BackendBehaviour(
        slots,
        newMaxQueue,
        serviceTime,
        newSlowFactor,
        newNoise,
        newColdStart,
        newReports,
        newDraining,
        newShedding,
        errorPercent,
        cutPercent,
        cancelNoticeMs,
        connectDelayUs);
  }
}
