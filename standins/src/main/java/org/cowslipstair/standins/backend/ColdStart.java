package org.cowslipstair.standins.backend;

/**
 * Capacity of a backend server while cold, and the conditions under which it becomes warm.
 *
 * @param capacity maximum number of concurrent calls; more of them cause a collapse
 * @param collapseFactor factor by which call durations are multiplied during a collapse
 * @param collapseMs time that a collapse lasts after the overload stopped
 * @param warmAfterSuccesses successful calls after which it is warm
 * @param warmAfterMs time after which it is warm; 0 for no time limit
 * @param noticeMs age of the cold start after which calls above the capacity are counted as late
 */
public record ColdStart(
    int capacity,
    double collapseFactor,
    long collapseMs,
    int warmAfterSuccesses,
    long warmAfterMs,
    long noticeMs) {
  /** Returns the default: one concurrent call, warm after 20 successful calls. */
  public static ColdStart standard() {
    return new ColdStart(1, 20, 200, 20, 0, 500);
  }
}
