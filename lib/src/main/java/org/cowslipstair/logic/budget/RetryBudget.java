package org.cowslipstair.logic.budget;

import java.util.random.RandomGenerator;
import org.cowslipstair.logic.invariant.Invariant;
import org.cowslipstair.logic.invariant.InvariantMonitor;

/**
 * Token bucket for the sends of one service beyond the first of each request. Each request earns a
 * fraction of a token, and the capacity is this gateway's share of the fleet-wide slack, so that
 * all gateways together stay within the fleet's budget in every time window. Not thread-safe.
 *
 * <p>Where the share is less than a token, a part of a token is spent as a chance of one: on
 * average the fleet sends as often, and no gateway keeps more than its share.
 */
public final class RetryBudget {
  /** Used fraction of the fleet's budget; the rest covers gateways that are not known yet. */
  private static final double USED_FRACTION = 0.8;

  /**
   * Filled fraction of new capacity. A gateway that has just started may have spent its tokens
   * before, so it gets only its share of what the fleet leaves unused.
   */
  private static final double INITIAL_FRACTION = (1 - USED_FRACTION) / USED_FRACTION;

  /** Share of the capacity that hedges leave for retries after failures. */
  private static final double RETRY_RESERVE_SHARE = 0.4;

  private static final double UNITS_PER_TOKEN = 1_000;

  private final String service;
  private final double ratio;
  private final RandomGenerator random;
  private final InvariantMonitor monitor;
  private double capacity;
  private double tokens;
  private double earnedTokens;
  private double spentTokens;

  /**
   * Creates an empty budget without a share.
   *
   * @param ratio sends beyond the first that the fleet may make per request
   */
  public RetryBudget(
      String service, double ratio, RandomGenerator random, InvariantMonitor monitor) {
    this.service = service;
    this.ratio = ratio;
    this.random = random;
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
    double addedTokens = hasWholeTokens() ? addedCapacity * INITIAL_FRACTION : 0;
    tokens = Math.min(capacity, tokens + addedTokens);
    earnedTokens += addedTokens;
  }

  /** Records a request, which earns a fraction of a token. */
  public void recordRequest() {
    double earnedPerRequest = ratio * USED_FRACTION;
    tokens =
        hasWholeTokens()
            ? Math.min(capacity, tokens + earnedPerRequest)
            : Math.min(capacity, tokens) + earnedPerRequest;
    earnedTokens += earnedPerRequest;
  }

  private boolean hasWholeTokens() {
    return capacity >= 1;
  }

  /** Acquires a token for a retry after a failure, if one is available. */
  public boolean tryAcquireRetry() {
    return hasWholeTokens() ? tryAcquire(1) : tryAcquirePart(tokens);
  }

  /** Acquires a token for a hedge, if enough tokens remain for retries. */
  public boolean tryAcquireHedge() {
    return hasWholeTokens()
        ? tryAcquire(minTokensForHedge())
        : tryAcquirePart(tokens - capacity * RETRY_RESERVE_SHARE);
  }

  /** Returns whether {@link #tryAcquireHedge} can succeed. */
  public boolean canAcquireHedge() {
    return hasWholeTokens()
        ? tokens >= minTokensForHedge()
        : tokens > capacity * RETRY_RESERVE_SHARE;
  }

  /** In a large fleet the reserve and a token exceed the capacity; then a full bucket suffices. */
  private double minTokensForHedge() {
    return Math.min(1 + capacity * RETRY_RESERVE_SHARE, capacity);
  }

  private boolean tryAcquire(double minTokens) {
    if (tokens < minTokens) {
      return false;
    }
    spend(1);
    return true;
  }

  /** Spends a part of a token for an equal chance of success. */
  private boolean tryAcquirePart(double part) {
    if (part <= 0) {
      return false;
    }
    double spent = Math.min(1, part);
    spend(spent);
    return random.nextDouble() < spent;
  }

  private void spend(double spent) {
    tokens -= spent;
    spentTokens += spent;
    monitor.checkAtMost(
        Invariant.RETRY_BUDGET,
        service,
        (long) (spentTokens * UNITS_PER_TOKEN),
        (long) Math.ceil(earnedTokens * UNITS_PER_TOKEN));
  }

  /** Returns the number of tokens left. */
  public double availableTokens() {
    return tokens;
  }
}
