package org.cowslipstair.logic.placement;

import org.cowslipstair.model.traffic.LoadReport;

/**
 * How long a request would take on a backend server, in multiples of its usual work.
 *
 * @param work expected time of the work with the present pace
 * @param queueing expected time until a slot is free
 * @param distrust factor on the rank of a backend server that has failed or says that it is ill
 * @param free whether a slot is free now
 * @param room whether the request can be queued without risk
 */
public record Estimate(double work, double queueing, double distrust, boolean free, boolean room) {
  /** Share of the slots in use above which backend servers tend to slow down. */
  private static final double KNEE_SHARE = 0.8;

  /** Expected slowdown beyond the knee. */
  private static final double KNEE_SLOWDOWN = 1.5;

  /** A cold backend server takes about this much longer. */
  private static final double COLD_SLOWDOWN = 2.0;

  /**
   * Weight of the failure share: a backend server that fails half of its requests counts 4 times.
   */
  private static final double FAILURE_WEIGHT = 6.0;

  /** Factor of a backend server that calls itself unhealthy; it may be wrong. */
  private static final double UNHEALTHY_FACTOR = 5.0;

  /** A pace is drawn toward the usual one, as it changes while the work goes on. */
  private static final double PACE_MEMORY = 0.7;

  /** Returns the expected total time, in multiples of the usual work. */
  public double total() {
    return work + queueing;
  }

  /** Returns the total time with distrust, by which backend servers are ranked. */
  public double rank() {
    return total() * distrust;
  }

  /** Estimates from a report that is fresh. */
  public static Estimate of(LoadReport load, BackendRecord record, long nowNs) {
    int slots = Math.max(1, load.slots());
    double pace = 1 + (Math.max(0.2, load.pace()) - 1) * PACE_MEMORY;
    boolean free = load.total() < slots;
    double used = Math.min(1.0, (load.total() + 1.0) / slots);
    double knee = used > KNEE_SHARE ? KNEE_SLOWDOWN : 1;
    double cold = record.isCold(nowNs) ? COLD_SLOWDOWN : 1;
    double work = pace * knee * cold;
    double queueing = free ? 0 : (load.total() - slots + 1.0) / slots * pace * knee;
    return new Estimate(work, queueing, distrust(record, nowNs), free, load.waiting() < slots);
  }

  /** Estimates for a backend server that is not asked, from what this gateway knows of it. */
  public static Estimate unasked(BackendRecord record, long nowNs) {
    return record
        .recentReport(nowNs)
        .map(report -> of(report, record, nowNs))
        .orElseGet(() -> fromOwnCounts(record, nowNs));
  }

  private static Estimate fromOwnCounts(BackendRecord record, long nowNs) {
    int slots = Math.max(1, record.instance().slots());
    boolean free = record.inFlight() < slots;
    double queueing = free ? 0.5 * record.inFlight() : 1.0 + record.inFlight() - slots;
    double work = record.isCold(nowNs) ? COLD_SLOWDOWN : 1;
    boolean room = record.inFlight() < 2 * slots;
    return new Estimate(work, queueing, distrust(record, nowNs), free, room);
  }

  private static double distrust(BackendRecord record, long nowNs) {
    double factor = 1 + FAILURE_WEIGHT * record.failureShare(nowNs);
    return record.isHealthy() ? factor : factor * UNHEALTHY_FACTOR;
  }
}
