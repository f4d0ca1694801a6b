package org.cowslipstair.standins.backend;

import org.jspecify.annotations.Nullable;

/**
 * How the health and load endpoints mislead.
 *
 * @param lagMs age of what they show
 * @param delayMs time by which their answers are late
 * @param health health that they claim, whatever is true; null for the true one
 * @param inFlight calls that they claim; -1 for the true number
 */
public record Reports(long lagMs, long delayMs, @Nullable BackendHealth health, int inFlight) {
  /** Returns endpoints that tell the truth at once. */
  public static Reports truthful() {
    return new Reports(0, 0, null, -1);
  }
}
