package org.cowslipstair.logic.placement;

import org.cowslipstair.model.traffic.LoadReport;

/**
 * Expected duration of a request on a backend server, in multiples of the usual service time of its
 * route.
 *
 * @param serviceTime expected service time at the present pace
 * @param queueTime expected time until a slot is free
 * @param failurePenalty factor on the score of a backend server that has failed or reports that it
 *     is unhealthy
 * @param hasFreeSlot whether a slot is free now
 * @param canQueue whether the queue of the backend server has room for the request
 * @param takesLastSlot whether the request would take the only free slot of several
 */
public record LatencyEstimate(
    double serviceTime,
    double queueTime,
    double failurePenalty,
    boolean hasFreeSlot,
    boolean canQueue,
    boolean takesLastSlot) {
  /** Share of slots in use above which backend servers tend to slow down. */
  private static final double HIGH_UTILIZATION = 0.8;

  /** Expected slowdown above this utilization. */
  private static final double HIGH_UTILIZATION_SLOWDOWN = 1.5;

  /** Expected slowdown of a cold backend server. */
  private static final double COLD_SLOWDOWN = 2.0;

  /**
   * Weight of the failure share beyond that of the whole service: a backend server that fails half
   * of its requests while the others fail none has a score 4 times as high. What all backend
   * servers of a service fail alike is no reason to prefer one over another.
   */
  private static final double FAILURE_WEIGHT = 6.0;

  /**
   * Factor on the score of a backend server that reports that it is unhealthy; the report may be
   * wrong.
   */
  private static final double UNHEALTHY_FACTOR = 5.0;

  /**
   * Weight of the reported pace against the usual one, since the pace changes while a request runs.
   */
  private static final double PACE_WEIGHT = 0.7;

  /** Creates an estimate for a backend server that has further free slots, or none. */
  public LatencyEstimate(
      double serviceTime,
      double queueTime,
      double failurePenalty,
      boolean hasFreeSlot,
      boolean canQueue) {
    this(serviceTime, queueTime, failurePenalty, hasFreeSlot, canQueue, false);
  }

  /** Returns the expected total time, in multiples of the usual service time. */
  public double total() {
    return serviceTime + queueTime;
  }

  /** Returns the total time with the failure penalty; the lowest score ranks first. */
  public double score() {
    return total() * failurePenalty;
  }

  /**
   * Estimates the duration from a load report that has just been received.
   *
   * @param serviceFailureShare share of the recent requests to the service that failed
   */
  public static LatencyEstimate fromReport(
      LoadReport load, BackendStats stats, double serviceFailureShare, long nowNs) {
    int slots = Math.max(1, load.slots());
    double pace = 1 + (Math.max(0.2, load.slowdownFactor()) - 1) * PACE_WEIGHT;
    boolean hasFreeSlot = load.total() < slots;
    double utilization = Math.min(1.0, (load.total() + 1.0) / slots);
    double utilizationSlowdown = utilization > HIGH_UTILIZATION ? HIGH_UTILIZATION_SLOWDOWN : 1;
    double coldSlowdown = stats.isCold(nowNs) ? COLD_SLOWDOWN : 1;
    double serviceTime = pace * utilizationSlowdown * coldSlowdown;
    double queueTime =
        hasFreeSlot ? 0 : (load.total() - slots + 1.0) / slots * pace * utilizationSlowdown;
    return new LatencyEstimate(
        serviceTime,
        queueTime,
        failurePenalty(stats, serviceFailureShare, nowNs),
        hasFreeSlot,
        load.waiting() < slots,
        slots > 1 && load.total() == slots - 1);
  }

  /**
   * Estimates the duration for a backend server that has not been probed, from its last recent load
   * report or, without one, from the request counts of this gateway.
   *
   * @param serviceFailureShare share of the recent requests to the service that failed
   */
  public static LatencyEstimate withoutProbe(
      BackendStats stats, double serviceFailureShare, long nowNs) {
    return stats
        .recentReport(nowNs)
        .map(report -> fromReport(report, stats, serviceFailureShare, nowNs))
        .orElseGet(() -> fromOwnCounts(stats, serviceFailureShare, nowNs));
  }

  private static LatencyEstimate fromOwnCounts(
      BackendStats stats, double serviceFailureShare, long nowNs) {
    int slots = Math.max(1, stats.instance().slots());
    boolean hasFreeSlot = stats.inFlight() < slots;
    double queueTime = hasFreeSlot ? 0.5 * stats.inFlight() : 1.0 + stats.inFlight() - slots;
    double serviceTime = stats.isCold(nowNs) ? COLD_SLOWDOWN : 1;
    boolean canQueue = stats.inFlight() < 2 * slots;
    return new LatencyEstimate(
        serviceTime,
        queueTime,
        failurePenalty(stats, serviceFailureShare, nowNs),
        hasFreeSlot,
        canQueue);
  }

  private static double failurePenalty(BackendStats stats, double serviceFailureShare, long nowNs) {
    double excessShare = Math.max(0, stats.failureShare(nowNs) - serviceFailureShare);
    double factor = 1 + FAILURE_WEIGHT * excessShare;
    return stats.isHealthy() ? factor : factor * UNHEALTHY_FACTOR;
  }
}
