package org.cowslipstair.edge.rollout;

import java.util.List;
import org.cowslipstair.logic.rollout.Directive;
import org.cowslipstair.logic.rollout.FleetCounts;
import org.cowslipstair.logic.rollout.RolloutDecider;
import org.cowslipstair.logic.rollout.RolloutReport;
import org.cowslipstair.logic.rollout.VersionShare;
import org.cowslipstair.model.rollout.RolloutOrder;
import org.cowslipstair.model.rollout.RolloutPolicy;
import org.cowslipstair.model.rollout.ServiceVersion;

/** One order that this gateway decides, with the reports about it and the order as last read. */
final class Decision {
  /** Number of intervals for which a report says what its gateway does now. */
  private static final long RECENT_INTERVALS = 4;

  /** Number of intervals from a send to a directive that takes it into account. */
  private static final long LAG_INTERVALS = 2;

  private static final long NS_PER_MS = 1_000_000L;

  private final RolloutDecider decider;
  private final FleetCounts counts = new FleetCounts();
  private final ServiceVersion target;
  private RolloutOrder order;
  private boolean isWriting;
  private long writeAtNs;
  private long lastReportNs;

  Decision(RolloutPolicy policy, RolloutOrder order, long nowNs) {
    this.decider = new RolloutDecider(policy, order.durationMs(), nowNs);
    this.target = order.target();
    this.order = order;
    this.writeAtNs = nowNs;
    this.lastReportNs = nowNs;
  }

  /** Takes an order that was read from the store, unless a later one is known. */
  void learn(RolloutOrder read) {
    if (read.revision() > order.revision()) {
      order = read;
    }
  }

  /** Returns whether the order has been replaced by one for another version. */
  boolean isReplaced() {
    return !order.target().equals(target);
  }

  RolloutOrder order() {
    return order;
  }

  Directive directive() {
    return decider.directive();
  }

  /**
   * Decides by the reports so far.
   *
   * @param gateways names of all known gateways
   * @param reachable those of them that have not been found unreachable
   * @param intervalMs time between two reports of a gateway
   */
  List<RolloutDecider.Action> step(
      List<String> gateways, List<String> reachable, long intervalMs, long nowNs) {
    long recentNs = RECENT_INTERVALS * intervalMs * NS_PER_MS;
    return decider.step(
        new RolloutDecider.Input(
            nowNs,
            counts.ageMs(nowNs),
            LAG_INTERVALS * intervalMs,
            counts.hasTarget(),
            counts.hasMajority(gateways, nowNs, recentNs),
            counts.isDrained(reachable, nowNs, recentNs),
            counts.routes(),
            VersionShare.statusOf(order)));
  }

  void onReport(RolloutReport report, long nowNs) {
    counts.record(report, nowNs);
    lastReportNs = nowNs;
  }

  boolean isAbandoned(long nowNs, long maxSilenceNs) {
    return nowNs - lastReportNs > maxSilenceNs;
  }

  /** Returns whether the status may be written now, and marks the write as begun. */
  boolean beginWrite(long nowNs) {
    if (isWriting || nowNs - writeAtNs < 0) {
      return false;
    }
    isWriting = true;
    return true;
  }

  /** Marks the write as ended; the next one may begin later. */
  void endWrite(long nextAtNs) {
    isWriting = false;
    writeAtNs = nextAtNs;
  }
}
