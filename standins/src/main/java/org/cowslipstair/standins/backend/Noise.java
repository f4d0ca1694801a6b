package org.cowslipstair.standins.backend;

/**
 * Periods in which a neighbour on the same host slows the backend server down.
 *
 * @param everyMs mean time between the starts of periods; 0 for none
 * @param forMs mean length of a period
 * @param factor how many times longer a call takes meanwhile
 */
public record Noise(long everyMs, long forMs, double factor) {
  /** Returns a host without noise. */
  public static Noise none() {
    return new Noise(0, 0, 1);
  }
}
