package org.cowslipstair.logic.rollout;

/**
 * Number of sends and of their outcomes.
 *
 * @param sent requests sent
 * @param judged those whose end tells something about the server
 * @param failed those of the judged ones that failed
 * @param slow those of the judged ones that took several times as long as usual
 */
public record OutcomeCounts(long sent, long judged, long failed, long slow) {
  private static final OutcomeCounts NONE = new OutcomeCounts(0, 0, 0, 0);

  /** Returns the counts before the first send. */
  public static OutcomeCounts none() {
    return NONE;
  }

  /** Returns the sum of both. */
  public OutcomeCounts plus(OutcomeCounts other) {
    return new OutcomeCounts(
        sent + other.sent, judged + other.judged, failed + other.failed, slow + other.slow);
  }

  /** Returns what was counted after the other counts; nothing is negative. */
  public OutcomeCounts since(OutcomeCounts other) {
    return new OutcomeCounts(
        Math.max(0, sent - other.sent),
        Math.max(0, judged - other.judged),
        Math.max(0, failed - other.failed),
        Math.max(0, slow - other.slow));
  }
}
