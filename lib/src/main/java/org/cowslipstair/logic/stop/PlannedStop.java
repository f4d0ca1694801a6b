package org.cowslipstair.logic.stop;

/**
 * A planned stop of a gateway. While callers may not know of it yet, requests are accepted that
 * usually end before it does; after that, only those whose own time ends before it.
 *
 * @param noticeEndNs monotonic time from which the balancer sends no new connections
 * @param endNs monotonic time at which every accepted request has its response
 */
public record PlannedStop(long noticeEndNs, long endNs) {
  /** Multiple of the average service time within which nearly all requests end. */
  private static final int SERVICE_TIME_FACTOR = 4;

  /**
   * Returns whether to accept a request.
   *
   * @param deadlineNs monotonic time at which the request ends in any case
   * @param serviceTimeNs average service time of such requests
   */
  public boolean accepts(long nowNs, long deadlineNs, double serviceTimeNs) {
    if (deadlineNs - endNs <= 0) {
      return true;
    }
    boolean isNoticed = nowNs - noticeEndNs >= 0;
    return !isNoticed && SERVICE_TIME_FACTOR * serviceTimeNs <= endNs - nowNs;
  }

  /** Returns the deadline of a request, which is the end of the stop at the latest. */
  public long limit(long deadlineNs) {
    return deadlineNs - endNs < 0 ? deadlineNs : endNs;
  }
}
