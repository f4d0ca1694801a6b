package org.cowslipstair.model.rollout;

/**
 * Bounds on rollouts.
 *
 * @param canaryShare share of the requests to a service that a bad version may get between the
 *     order and the end of its time
 * @param canarySlackRequests further requests that a bad version may get
 * @param rollbackMs time from the first clear signs that a version is bad to its last request, in
 *     milliseconds
 */
public record RolloutPolicy(double canaryShare, double canarySlackRequests, long rollbackMs) {
  /** Validates the values. */
  public RolloutPolicy {
    boolean isShare = canaryShare >= 0 && canaryShare <= 1;
    if (!isShare || !(canarySlackRequests >= 0) || rollbackMs <= 0) {
      throw new IllegalArgumentException(
          "rollouts with a canary share of %s, %s further requests and %d ms to roll back"
              .formatted(canaryShare, canarySlackRequests, rollbackMs));
    }
  }
}
