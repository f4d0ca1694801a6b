package org.cowslipstair.standins.backend;

/**
 * Periods in which other load on the same host slows the backend server down.
 *
 * @param everyMs mean time between the starts of two periods; 0 for no noise
 * @param forMs mean duration of a period
 * @param factor factor by which call durations are multiplied during a period
 */
public record Noise(long everyMs, long forMs, double factor) {
  /** Returns the settings without noise. */
  public static Noise none() {
    return new Noise(0, 0, 1);
  }
}
