package org.cowslipstair.standins.backend;

import org.jspecify.annotations.Nullable;

/**
 * Errors in the reports of the health and load endpoints.
 *
 * @param lagMs age of the reported values
 * @param delayMs delay of their responses
 * @param health reported health; null for the true health
 * @param inFlight reported number of calls in flight; -1 for the true number
 */
public record Reports(long lagMs, long delayMs, @Nullable BackendHealth health, int inFlight) {
  /** Returns the settings of correct reports without lag or delay. */
  public static Reports truthful() {
    return new Reports(0, 0, null, -1);
  }
}
