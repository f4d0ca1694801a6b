package org.cowslipstair.logic.placement;

import java.util.HashMap;
import java.util.Map;

/** Moving averages of the service times of the requests of each route at backend servers. */
public final class ServiceTimes {
  /** Weight of the newest service time. */
  private static final double NEWEST_WEIGHT = 0.05;

  /** Service time assumed before the first measurement, as a share of the target latency. */
  private static final double INITIAL_SHARE_OF_TARGET = 0.4;

  private static final double NS_PER_MS = 1e6;

  private final Map<String, Double> averagesNs = new HashMap<>();

  /** Adds the service time of a successful response. */
  public void record(String route, long targetLatencyMs, long serviceTimeNs) {
    double previousNs = averageNs(route, targetLatencyMs);
    averagesNs.put(route, previousNs + NEWEST_WEIGHT * (serviceTimeNs - previousNs));
  }

  /** Returns the average service time of a route, in nanoseconds. */
  public double averageNs(String route, long targetLatencyMs) {
    Double averageNs = averagesNs.get(route);
    return averageNs == null ? targetLatencyMs * NS_PER_MS * INITIAL_SHARE_OF_TARGET : averageNs;
  }
}
