package org.cowslipstair.model.traffic;

import java.util.Optional;

/**
 * What a response of a backend server said of its rate limit.
 *
 * @param limit advertised limit; empty if the backend server advertises none
 * @param observedNs monotonic time of the response
 */
public record RateLimitObservation(Optional<RateLimit> limit, long observedNs) {
  /** Returns whether this observation replaces an earlier one. */
  public boolean isNewerThan(RateLimitObservation other) {
    return observedNs - other.observedNs >= 0;
  }
}
