package org.cowslipstair.logic.placement;

import java.util.HashMap;
import java.util.Map;

/** Running averages of the time that the requests of each route take at backend servers. */
public final class WorkTimes {
  /** Weight of the newest time. */
  private static final double NEWEST_WEIGHT = 0.05;

  /** Until times are known, the work is taken to be this part of the target latency. */
  private static final double FIRST_GUESS = 0.4;

  private static final double NS_PER_MS = 1e6;

  private final Map<String, Double> averagesNs = new HashMap<>();

  /** Adds the time of an answer. */
  public void add(String route, long targetLatencyMs, long timeNs) {
    double before = averageNs(route, targetLatencyMs);
    averagesNs.put(route, before + NEWEST_WEIGHT * (timeNs - before));
  }

  /** Returns the average time of a route, in nanoseconds. */
  public double averageNs(String route, long targetLatencyMs) {
    Double known = averagesNs.get(route);
    return known == null ? targetLatencyMs * NS_PER_MS * FIRST_GUESS : known;
  }
}
