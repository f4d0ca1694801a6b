package org.cowslipstair.standins.backend;

/**
 * What a backend server bears while cold and how it becomes warm.
 *
 * @param capacity most calls at once that it bears; more make it collapse
 * @param collapseFactor how many times longer calls take in a collapse
 * @param collapseMs time for which a collapse lasts after its cause ended
 * @param warmAfterSuccesses answers after which it is warm
 * @param warmAfterMs time after which it is warm; 0 for never by time
 * @param noticeMs age of the cold start after which calls over the capacity are counted as late
 */
public record ColdStart(
    int capacity,
    double collapseFactor,
    long collapseMs,
    int warmAfterSuccesses,
    long warmAfterMs,
    long noticeMs) {
  /** Returns the default: one call at once, warm after 20 answers. */
  public static ColdStart standard() {
    return new ColdStart(1, 20, 200, 20, 0, 500);
  }
}
