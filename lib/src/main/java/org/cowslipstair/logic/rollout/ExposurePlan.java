package org.cowslipstair.logic.rollout;

import org.cowslipstair.model.rollout.RolloutPolicy;

/**
 * How much of a service's traffic its new version gets, and when, so that a version that turns out
 * to be bad has got no more than the policy allows. All times are since the order.
 */
public final class ExposurePlan {
  /** Part of the allowed share that every gateway sends unasked; the rest pays for wider steps. */
  private static final double UNASKED_PART = 0.5;

  /** Part of the further requests that one decider uses, since there may be two for a moment. */
  private static final double SLACK_PART = 0.5;

  /** Share of the time after which the rate of requests counts as known. */
  private static final double RATE_KNOWN_SHARE = 0.15;

  /** Factor by which the rate of requests may rise before the next step. */
  private static final double RATE_MARGIN = 1.5;

  /** Share of the time after which the new version gets more than the unasked share. */
  private static final double WIDENING_SHARE = 0.6;

  /** Share of the time after which a version without a finding gets everything. */
  private static final double COMMIT_SHARE = 0.75;

  /** Share of the time after which requests on other versions are not waited for any more. */
  private static final double DRAIN_END_SHARE = 0.9;

  /** Factor between the shares of two wider steps. */
  private static final double STEP_FACTOR = 2;

  private static final int STEPS = 3;

  /**
   * Number of judged outcomes after which a version that is bad in {@link
   * SequentialTest#MIN_EXCESS} of them has shown at least one bad outcome in 99 of 100 cases.
   */
  public static final long MIN_JUDGED =
      (long) Math.ceil(Math.log(0.01) / Math.log(1 - SequentialTest.MIN_EXCESS));

  private final RolloutPolicy policy;
  private final long durationMs;

  /** Creates a plan for an order that has to end within a time. */
  public ExposurePlan(RolloutPolicy policy, long durationMs) {
    this.policy = policy;
    this.durationMs = durationMs;
  }

  /** Returns the share that a gateway sends without being told. */
  public static double unaskedShare(RolloutPolicy policy) {
    return UNASKED_PART * policy.canaryShare();
  }

  /** Returns the share that gateways send without being told. */
  public double unaskedShare() {
    return unaskedShare(policy);
  }

  /** Returns whether the new version may get wider shares. */
  public boolean mayWiden(long ageMs) {
    return ageMs >= WIDENING_SHARE * durationMs;
  }

  /** Returns whether a version without a finding gets everything. */
  public boolean mayCommit(long ageMs) {
    return ageMs >= COMMIT_SHARE * durationMs;
  }

  /** Returns whether requests on other versions are not waited for any more. */
  public boolean isDrainOver(long ageMs) {
    return ageMs >= DRAIN_END_SHARE * durationMs;
  }

  /** Returns whether the time of the order is over. */
  public boolean isOver(long ageMs) {
    return ageMs >= durationMs;
  }

  /**
   * Returns the share that keeps within what the policy allows, whatever the version turns out to
   * be.
   *
   * @param sum outcomes of all routes since the order
   * @param lagMs time for which gateways may follow a share after the last count that is known
   */
  public double share(long ageMs, RouteCounts sum, long lagMs) {
    double unasked = unaskedShare();
    double perMs = Math.max(sum.sent(), 1.0) / Math.max(ageMs, 1);
    double left =
        policy.canaryShare() * sum.sent()
            + SLACK_PART * policy.canarySlackRequests()
            - sum.target().sent();
    double wanted = mayWiden(ageMs) ? widened(ageMs) : shareToBeJudged(ageMs, sum, perMs);
    if (ageMs < RATE_KNOWN_SHARE * durationMs) {
      return unasked;
    }
    double affordable = left / (RATE_MARGIN * perMs * (stepEndMs(ageMs) - ageMs + lagMs));
    return Math.clamp(Math.min(wanted, affordable), unasked, 1);
  }

  private double widened(long ageMs) {
    return Math.min(1, policy.canaryShare() * Math.pow(STEP_FACTOR, step(ageMs) + 1));
  }

  private int step(long ageMs) {
    return Math.clamp((int) ((ageMs - WIDENING_SHARE * durationMs) / stepMs()), 0, STEPS - 1);
  }

  private double stepMs() {
    return (COMMIT_SHARE - WIDENING_SHARE) * durationMs / STEPS;
  }

  private double stepEndMs(long ageMs) {
    return mayWiden(ageMs)
        ? Math.max(ageMs, WIDENING_SHARE * durationMs + (step(ageMs) + 1) * stepMs())
        : COMMIT_SHARE * durationMs;
  }

  /** A service with few requests needs more than the unasked share to be judged in time. */
  private double shareToBeJudged(long ageMs, RouteCounts sum, double perMs) {
    double missing = Math.max(0, MIN_JUDGED - sum.target().judged());
    return missing / (perMs * Math.max(1, WIDENING_SHARE * durationMs - ageMs));
  }
}
