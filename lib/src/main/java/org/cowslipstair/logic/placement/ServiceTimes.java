package org.cowslipstair.logic.placement;

import java.util.HashMap;
import java.util.Map;

/**
 * Moving averages of the service times of the requests of each route at backend servers. The first
 * measurements weigh more, since a gateway sees few requests of some routes.
 */
public final class ServiceTimes {
  /** Minimum weight of the newest service time. */
  private static final double NEWEST_WEIGHT = 0.05;

  /** Service time assumed before the first measurement, as a share of the target latency. */
  private static final double INITIAL_SHARE_OF_TARGET = 0.4;

  private static final double NS_PER_MS = 1e6;

  private final Map<String, Average> averages = new HashMap<>();

  private record Average(double ns, int count) {
    Average with(long serviceTimeNs) {
      // What was assumed counts as one measurement.
      double weight = Math.max(NEWEST_WEIGHT, 1.0 / (count + 2));
      return new Average(ns + weight * (serviceTimeNs - ns), count + 1);
    }
  }

  /** Adds the service time of a successful response. */
  public void record(String route, long targetLatencyMs, long serviceTimeNs) {
    Average previous = averages.get(route);
    Average start = previous == null ? new Average(initialNs(targetLatencyMs), 0) : previous;
    averages.put(route, start.with(serviceTimeNs));
  }

  /** Returns the average service time of a route, in nanoseconds. */
  public double averageNs(String route, long targetLatencyMs) {
    Average average = averages.get(route);
    return average == null ? initialNs(targetLatencyMs) : average.ns;
  }

  private static double initialNs(long targetLatencyMs) {
    return targetLatencyMs * NS_PER_MS * INITIAL_SHARE_OF_TARGET;
  }
}
