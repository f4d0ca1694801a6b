package org.cowslipstair.edge.rollout;

import java.util.Optional;
import org.cowslipstair.logic.rollout.Directive;
import org.cowslipstair.logic.rollout.FleetCounts;
import org.cowslipstair.logic.rollout.RolloutDecider;
import org.cowslipstair.logic.rollout.RolloutReport;
import org.cowslipstair.logic.rollout.VersionShare;
import org.cowslipstair.model.rollout.RolloutOrder;
import org.cowslipstair.model.rollout.RolloutPolicy;
import org.cowslipstair.model.rollout.RolloutStatus;
import org.cowslipstair.model.rollout.ServiceVersion;

/** One order that this gateway decides, with the reports about it and the order as last read. */
final class Decision {
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

  RolloutDecider decider() {
    return decider;
  }

  FleetCounts counts() {
    return counts;
  }

  Directive directive() {
    return decider.directive();
  }

  Optional<RolloutStatus.State> recorded() {
    return VersionShare.statusOf(order);
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
