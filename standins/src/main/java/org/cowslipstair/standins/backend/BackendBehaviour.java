package org.cowslipstair.standins.backend;

/**
 * Behaviour of a backend server stand-in; can be replaced while the stand-in runs.
 *
 * @param slots maximum number of calls that run concurrently
 * @param maxQueue maximum number of calls that wait for a slot; further calls are refused as not
 *     run; -1 for no limit
 * @param slowFactor factor by which the duration of each call is multiplied
 * @param draining whether new calls are refused as not run while running calls complete
 * @param shedding whether all new calls are refused as not run
 * @param errorPercent percentage of calls that fail immediately with status 500
 * @param cutPercent percentage of responses that are truncated by closing the connection
 * @param cancelNoticeMs interval of the checks for a connection closed by the caller
 * @param connectDelayUs delay of the first request on each connection
 * @param overload what happens when most or all slots are busy
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
    long connectDelayUs,
    Overload overload) {
  private static final long DEFAULT_CANCEL_NOTICE_MS = 10;

  /** Returns the behaviour of a healthy backend server with an unbounded queue. */
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
        0,
        Overload.none());
  }

  /** Returns a copy with another queue limit; -1 for no limit. */
  public BackendBehaviour withMaxQueue(int newMaxQueue) {
    return copy(newMaxQueue, slowFactor, noise, coldStart, reports, draining, shedding);
  }

  /** Returns a copy with another slow-down factor. */
  public BackendBehaviour withSlowFactor(double newSlowFactor) {
    return copy(maxQueue, newSlowFactor, noise, coldStart, reports, draining, shedding);
  }

  /** Returns a copy with other noise. */
  public BackendBehaviour withNoise(Noise newNoise) {
    return copy(maxQueue, slowFactor, newNoise, coldStart, reports, draining, shedding);
  }

  /** Returns a copy with other cold start settings. */
  public BackendBehaviour withColdStart(ColdStart newColdStart) {
    return copy(maxQueue, slowFactor, noise, newColdStart, reports, draining, shedding);
  }

  /** Returns a copy with other settings for the health and load endpoints. */
  public BackendBehaviour withReports(Reports newReports) {
    return copy(maxQueue, slowFactor, noise, coldStart, newReports, draining, shedding);
  }

  /** Returns a copy with draining switched on or off. */
  public BackendBehaviour withDraining(boolean newDraining) {
    return copy(maxQueue, slowFactor, noise, coldStart, reports, newDraining, shedding);
  }

  /** Returns a copy with shedding switched on or off. */
  public BackendBehaviour withShedding(boolean newShedding) {
    return copy(maxQueue, slowFactor, noise, coldStart, reports, draining, newShedding);
  }

  /** Returns a copy with other percentages of failed calls and truncated responses. */
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
        connectDelayUs,
        overload);
  }

  /** Returns a copy with another delay of the first request on each connection. */
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
        newConnectDelayUs,
        overload);
  }

  /** Returns a copy with another behaviour when most or all slots are busy. */
  public BackendBehaviour withOverload(Overload newOverload) {
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
        connectDelayUs,
        newOverload);
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
        connectDelayUs,
        overload);
  }
}
