package org.cowslipstair.logic.quota;

import org.cowslipstair.model.tenant.Quota;
import org.cowslipstair.model.tenant.QuotaPolicy;

/**
 * What the fleet may issue of a quota. The tolerance of the policy, by which a window may exceed
 * the quota, is divided: a part is issued beyond the rate, a part lets requests bunch up, a part
 * lets new issuers begin before they have earned permits (once, and once more after restarts), the
 * rest is left for gateways that count the fleet differently.
 */
public record QuotaBounds(Quota quota, QuotaPolicy policy) {
  private static final double RATE_SHARE = 0.25;
  private static final double DEPTH_SHARE = 0.2;
  private static final double ADVANCE_SHARE = 0.15;
  private static final long NS_PER_MS = 1_000_000L;
  private static final double MS_PER_SECOND = 1e3;

  /** Returns the permits a second that the whole fleet issues at most for long. */
  double permitsPerSecond() {
    return quota.requestsPerSecond() + RATE_SHARE * tolerance() * MS_PER_SECOND / policy.windowMs();
  }

  /** Returns the permits that the whole fleet may save up. */
  double depth() {
    return quota.burstRequests() + DEPTH_SHARE * tolerance();
  }

  /** Returns the permits that the whole fleet may get in advance, once in a window. */
  double advance() {
    return ADVANCE_SHARE * tolerance();
  }

  /** Returns the maximum number of requests in any window. */
  long maxInWindow() {
    return (long) policy.maxRequests(quota);
  }

  long windowNs() {
    return policy.windowMs() * NS_PER_MS;
  }

  private double tolerance() {
    return policy.maxRequests(quota) - quota.requestsIn(policy.windowMs());
  }
}
