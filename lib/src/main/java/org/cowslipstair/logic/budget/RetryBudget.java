package org.cowslipstair.logic.budget;

import org.cowslipstair.logic.invariant.Invariant;
import org.cowslipstair.logic.invariant.InvariantMonitor;

/**
 * Token bucket for the sends of one service beyond the first of each request. Every request earns a
 * fraction of a token, and the capacity is this gateway's part of the fleet's slack, so that the
 * sum over all gateways stays within the fleet's budget in every window. Not safe for use by many
 * threads.
 */
public final class RetryBudget {
  /** Part of the fleet's budget that is used; the rest covers gateways that are not known yet. */
  private static final double USED_PART = 0.8;

  private final String service;
  private final double ratio;
  private final InvariantMonitor monitor;
  private double capacity;
  private double tokens;
  private double earned;
  private long taken;

  /**
   * Creates an empty budget.
   *
   * @param ratio sends beyond the first that the fleet may make for each request
   */
  public RetryBudget(String service, double ratio, InvariantMonitor monitor) {
    this.service = service;
    this.ratio = ratio;
    this.monitor = monitor;
  }

  /**
   * Sets this gateway's part of the slack.
   *
   * @param slack sends that the fleet may make in a window without any request
   * @param gateways number of gateways that share the slack
   */
  public void share(double slack, int gateways) {
    double before = capacity;
    capacity = slack * USED_PART / Math.max(1, gateways);
    double granted = Math.max(0, capacity - before);
    tokens = Math.min(limit(), tokens + granted);
    earned += granted;
  }

  /** Counts a request. */
  public void requested() {
    double earning = ratio * USED_PART;
    tokens = Math.min(limit(), tokens + earning);
    earned += earning;
  }

  /** A small share of the slack must not keep whole tokens from being earned. */
  private double limit() {
    return Math.max(capacity, 1);
  }

  /** Takes a token if there is one and at least the given number stays. */
  public boolean tryTake(double reserve) {
    if (!mayTake(reserve)) {
      return false;
    }
    tokens -= 1;
    taken++;
    monitor.checkAtMost(Invariant.RETRY_BUDGET, service, taken, (long) Math.ceil(earned));
    return true;
  }

  /** Returns whether {@link #tryTake} would succeed. */
  public boolean mayTake(double reserve) {
    return tokens >= 1 + reserve;
  }

  /** Returns the tokens that are left. */
  public double left() {
    return tokens;
  }

  /** Returns the capacity. */
  public double capacity() {
    return capacity;
  }
}
