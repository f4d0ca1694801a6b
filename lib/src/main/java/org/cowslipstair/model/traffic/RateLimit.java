package org.cowslipstair.model.traffic;

/**
 * Limit that a backend server advertises on the requests it accepts from all gateways together.
 *
 * @param requestsPerSecond not negative, finite
 */
public record RateLimit(double requestsPerSecond) {
  /** Validates the rate. */
  public RateLimit {
    if (!Double.isFinite(requestsPerSecond) || requestsPerSecond < 0) {
      throw new IllegalArgumentException("rate limit " + requestsPerSecond);
    }
  }
}
