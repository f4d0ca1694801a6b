package org.cowslipstair.logic.placement;

/** Moving average of the share of requests that failed; it decays over time. Not thread-safe. */
public final class FailureAverage {
  /** Time after which the average has decayed to half. */
  private static final double HALF_LIFE_NS = 3e9;

  private final double newestWeight;
  private double average;
  private long averageAtNs;

  /**
   * Creates an average of 0.
   *
   * @param newestWeight weight of the newest outcome, between 0 and 1
   */
  public FailureAverage(double newestWeight, long nowNs) {
    this.newestWeight = newestWeight;
    this.averageAtNs = nowNs;
  }

  /** Records whether a request succeeded. */
  public void record(boolean success, long nowNs) {
    double previous = share(nowNs);
    average = previous + newestWeight * ((success ? 0 : 1) - previous);
    averageAtNs = nowNs;
  }

  /** Returns the share of recent requests that failed, between 0 and 1. */
  public double share(long nowNs) {
    return average * Math.pow(0.5, (nowNs - averageAtNs) / HALF_LIFE_NS);
  }
}
