package org.cowslipstair.model.traffic;

/**
 * Load reported by a backend server.
 *
 * @param running number of requests being executed
 * @param waiting number of requests queued for a slot
 * @param slots number of requests that it can execute concurrently
 * @param slowdownFactor current service time relative to the usual service time; 2 means twice as
 *     slow
 */
public record LoadReport(int running, int waiting, int slots, double slowdownFactor) {
  /** Returns the number of requests being executed or queued. */
  public int total() {
    return running + waiting;
  }
}
