package org.cowslipstair.standins.backend;

/**
 * What happens when most or all slots of a backend server are busy.
 *
 * @param kneeShare share of busy slots from which calls take longer; above 1 for never
 * @param kneeFactor factor by which call durations are multiplied then
 * @param hangsWhenFull whether calls beyond the queue get no response at all, instead of a refusal
 */
public record Overload(double kneeShare, double kneeFactor, boolean hangsWhenFull) {
  /** Returns the settings of a server whose calls always take as long, and that refuses calls. */
  public static Overload none() {
    return new Overload(2, 1, false);
  }
}
