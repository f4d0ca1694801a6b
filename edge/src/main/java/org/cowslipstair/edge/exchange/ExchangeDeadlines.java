package org.cowslipstair.edge.exchange;

import org.cowslipstair.logic.placement.PlacementRule;
import org.cowslipstair.model.traffic.Route;

/**
 * Monotonic times at which the phases of an exchange end, in nanoseconds.
 *
 * @param finalNs when the caller gets a response in any case
 * @param targetNs when the target latency is reached
 * @param selectionEndNs when the best backend server found so far is selected for the first send
 * @param responseWaitEndNs when the first send is given up if no backend server has responded
 */
record ExchangeDeadlines(long finalNs, long targetNs, long selectionEndNs, long responseWaitEndNs) {
  private static final long NS_PER_MS = 1_000_000L;

  /** Share of the target latency after which the best backend server found is selected. */
  private static final double SELECTION_TIME_SHARE = 0.125;

  /**
   * Share of the target latency for which the first response to a probe is awaited. Right after a
   * start a gateway is slow, and a refused caller would only go to another one that is as slow.
   */
  private static final double RESPONSE_WAIT_SHARE = 0.5;

  /** Time between this gateway's own response at a deadline and the deadline of the caller. */
  private static final long CALLER_MARGIN_NS = 20 * NS_PER_MS;

  static ExchangeDeadlines of(RequestMessage message, Route route) {
    long routeDeadlineNs = message.arrivedNs() + route.timeoutMs() * NS_PER_MS;
    long callerDeadlineNs = message.callerDeadlineNs().orElse(Long.MAX_VALUE);
    long targetLatencyNs = route.targetLatencyMs() * NS_PER_MS;
    return new ExchangeDeadlines(
        Math.min(routeDeadlineNs, callerDeadlineNs - CALLER_MARGIN_NS),
        message.arrivedNs() + targetLatencyNs,
        message.arrivedNs() + (long) (targetLatencyNs * SELECTION_TIME_SHARE),
        message.arrivedNs() + (long) (targetLatencyNs * RESPONSE_WAIT_SHARE));
  }

  /** Returns the rule by which a backend server is selected from now on. */
  PlacementRule placementRule(double serviceTimeNs, boolean isHedge, long nowNs) {
    return new PlacementRule(
        serviceTimeNs,
        targetNs,
        Math.max(selectionEndNs, nowNs),
        Math.max(responseWaitEndNs, nowNs),
        finalNs,
        isHedge);
  }
}
