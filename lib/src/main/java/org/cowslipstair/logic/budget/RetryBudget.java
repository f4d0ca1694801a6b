package org.cowslipstair.logic.budget;

import org.cowslipstair.logic.invariant.Invariant;
import org.cowslipstair.logic.invariant.InvariantMonitor;

/**
 * Token bucket for the sends of one service beyond the first of each request. Each request earns a
 * fraction of a token, and the capacity is this gateway's share of the fleet-wide slack, so that
 * all gateways together stay within the fleet's budget in every time window. Not thread-safe.
 */
public final class RetryBudget {
  /** Used fraction of the fleet's budget; the rest covers gateways that are not known yet. */
  private static final double USED_FRACTION = 0.8;

  /** Share of the capacity that hedges leave for retries after failures. */
  private static final double RETRY_RESERVE_SHARE = 0.4;

  private final String service;
  private final double ratio;
  private final InvariantMonitor monitor;
  private double capacity;
  private double tokens;
  private double earnedTokens;
  private long acquiredCount;

  /**
   * Creates an empty budget.
   *
   * @param ratio sends beyond the first that the fleet may make per request
   */
  public RetryBudget(String service, double ratio, InvariantMonitor monitor) {
    this.service = service;
    this.ratio = ratio;
    this.monitor = monitor;
  }

  /**
   * Sets this gateway's share of the slack.
   *
   * @param slack sends beyond the first that the fleet may make in a time window in addition to the
   *     ratio
   * @param gateways number of gateways that share the slack
   */
  public void setShare(double slack, int gateways) {
    double previousCapacity = capacity;
    capacity = slack * USED_FRACTION / Math.max(1, gateways);
    double addedCapacity = Math.max(0, capacity - previousCapacity);
    tokens = Math.min(maxTokens(), tokens + addedCapacity);
    earnedTokens += addedCapacity;
  }

  /** Records a request, which earns a fraction of a token. */
  public void recordRequest() {
    double earnedPerRequest = ratio * USED_FRACTION;
    tokens = Math.min(maxTokens(), tokens + earnedPerRequest);
    earnedTokens += earnedPerRequest;
  }

  /** At least 1, so that whole tokens can be earned even if the share of the slack is smaller. */
  private double maxTokens() {
    return Math.max(capacity, 1);
  }

  /** Acquires a token for a retry after a failure, if one is available. */
  public boolean tryAcquireRetry() {
    return tryAcquire(1);
  }

  /** Acquires a token for a hedge, if enough tokens remain for retries. */
  public boolean tryAcquireHedge() {
    return tryAcquire(minTokensForHedge());
  }

  /** Returns whether {@link #tryAcquireHedge} would succeed. */
  public boolean canAcquireHedge() {
    return tokens >= minTokensForHedge();
  }

  /** In a large fleet the reserve and a token exceed the capacity; then a full bucket suffices. */
  private double minTokensForHedge() {
    return Math.min(1 + capacity * RETRY_RESERVE_SHARE, maxTokens());
  }

  private boolean tryAcquire(double minTokens) {
    if (tokens < minTokens) {
      return false;
    }
    tokens -= 1;
    acquiredCount++;
    monitor.checkAtMost(
        Invariant.RETRY_BUDGET, service, acquiredCount, (long) Math.ceil(earnedTokens));
    return true;
  }

  /** Returns the number of tokens left. */
  public double availableTokens() {
    return tokens;
  }
}
