package org.cowslipstair.model.tenant;

/**
 * Limit on the requests of one tenant at all gateways together.
 *
 * @param requestsPerSecond sustained rate
 * @param burstRequests requests that may run at once in addition to the rate
 */
public record Quota(double requestsPerSecond, double burstRequests) {
  /** Validates the limits. */
  public Quota {
    if (!(requestsPerSecond > 0) || Double.isInfinite(requestsPerSecond)) {
      throw new IllegalArgumentException(
          "quota of %s requests per second".formatted(requestsPerSecond));
    }
    if (!(burstRequests >= 0) || Double.isInfinite(burstRequests)) {
      throw new IllegalArgumentException("quota with a burst of " + burstRequests);
    }
  }

  /**
   * Returns the number of requests that the quota allows in any window of the given length.
   *
   * @param windowMs length of the window in milliseconds
   */
  public double requestsIn(long windowMs) {
    return requestsPerSecond * windowMs / 1_000.0 + burstRequests;
  }
}
