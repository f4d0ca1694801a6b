package org.cowslipstair.edge.exchange;

import org.cowslipstair.logic.placement.PlacementRule;
import org.cowslipstair.logic.stop.PlannedStop;
import org.cowslipstair.model.traffic.Route;

/**
 * Monotonic times at which the phases of an exchange end, in nanoseconds.
 *
 * @param arrivedNs when the request arrived
 * @param finalNs when the caller gets a response in any case
 * @param targetNs when the target latency is reached
 * @param selectionEndNs when the best backend server found so far is selected for the first send
 */
record ExchangeDeadlines(long arrivedNs, long finalNs, long targetNs, long selectionEndNs) {
  private static final long NS_PER_MS = 1_000_000L;

  /** Share of the target latency after which the best backend server found is selected. */
  private static final double SELECTION_TIME_SHARE = 0.125;

  /**
   * Share of the target latency by which the event loop may be behind. A request takes four steps
   * of the loop, so that beyond it nearly all would be late.
   */
  private static final double MAX_LOOP_DELAY_SHARE = 0.125;

  /** Time between this gateway's own response at a deadline and the deadline of the caller. */
  private static final long CALLER_MARGIN_NS = 20 * NS_PER_MS;

  static ExchangeDeadlines of(RequestMessage message, Route route) {
    long routeDeadlineNs = message.arrivedNs() + route.timeoutMs() * NS_PER_MS;
    long callerDeadlineNs = message.callerDeadlineNs().orElse(Long.MAX_VALUE);
    long targetLatencyNs = route.targetLatencyMs() * NS_PER_MS;
    return new ExchangeDeadlines(
        message.arrivedNs(),
        Math.min(routeDeadlineNs, callerDeadlineNs - CALLER_MARGIN_NS),
        message.arrivedNs() + targetLatencyNs,
        message.arrivedNs() + (long) (targetLatencyNs * SELECTION_TIME_SHARE));
  }

  /** Returns these times with the final one at the end of a planned stop at the latest. */
  ExchangeDeadlines limitedTo(PlannedStop stop) {
    return new ExchangeDeadlines(arrivedNs, stop.limit(finalNs), targetNs, selectionEndNs);
  }

  /** Returns whether the event loop is so far behind that the selection would end too late. */
  boolean isMissedByDelay(long loopDelayNs) {
    return loopDelayNs > (targetNs - arrivedNs) * MAX_LOOP_DELAY_SHARE;
  }

  /**
   * Returns the rule by which a backend server is selected from now on.
   *
   * @param isResumed whether the request has waited for room; its selection has as much time again
   */
  PlacementRule placementRule(
      double serviceTimeNs,
      boolean isHedge,
      PlacementRule.Waiting waiting,
      boolean isResumed,
      long nowNs) {
    long endNs = isResumed ? nowNs + (selectionEndNs - arrivedNs) : nowNs;
    return new PlacementRule(
        serviceTimeNs, targetNs, Math.max(selectionEndNs, endNs), finalNs, isHedge, waiting);
  }
}
