package org.cowslipstair.model.tenant;

/**
 * How exactly the fleet keeps quotas. In any window, requests of a tenant may run up to what its
 * quota allows in the window, raised by a ratio, and some further requests.
 *
 * @param windowMs length of the window in milliseconds
 * @param excessRatio ratio by which the requests in a window may exceed the quota
 * @param slackRequests further requests in a window
 */
public record QuotaPolicy(long windowMs, double excessRatio, double slackRequests) {
  /** Validates the values. */
  public QuotaPolicy {
    if (windowMs <= 0 || !(excessRatio >= 0) || !(slackRequests >= 0)) {
      throw new IllegalArgumentException(
          "quota window of %d ms, excess %s, slack %s"
              .formatted(windowMs, excessRatio, slackRequests));
    }
  }

  /** Returns the maximum number of requests of a tenant in any window. */
  public double maxRequests(Quota quota) {
    return quota.requestsIn(windowMs) * (1 + excessRatio) + slackRequests;
  }
}
