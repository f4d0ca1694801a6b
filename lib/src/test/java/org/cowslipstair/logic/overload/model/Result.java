package org.cowslipstair.logic.overload.model;

import java.util.Map;
import java.util.TreeMap;

/** Counts of callers whose first attempt fell into the trouble, and of probes. */
final class Result {
  private final Map<String, Counts> countsByRoute = new TreeMap<>();
  int refusals;
  int hedges;
  int retries;
  int otherZone;
  int sends;
  int waits;
  long probes;
  long probesThatGotNoResponse;

  /** Counts of the callers of one route. */
  static final class Counts {
    int callers;
    int inTime;
    int late;
    int failed;

    double inTimeShare() {
      return (double) inTime / callers;
    }

    double servedShare() {
      return (double) (inTime + late) / callers;
    }
  }

  Counts counts(String route) {
    return countsByRoute.computeIfAbsent(route, _ -> new Counts());
  }

  private Counts all() {
    Counts all = new Counts();
    countsByRoute
        .values()
        .forEach(
            counts -> {
              all.callers += counts.callers;
              all.inTime += counts.inTime;
              all.late += counts.late;
              all.failed += counts.failed;
            });
    return all;
  }

  double inTimeShare() {
    return all().inTimeShare();
  }

  double servedShare() {
    return all().servedShare();
  }

  double otherZoneShare() {
    return (double) otherZone / sends;
  }

  double probesPerSend() {
    return (double) probes / sends;
  }

  @Override
  public String toString() {
    StringBuilder routes = new StringBuilder();
    countsByRoute.forEach(
        (route, counts) ->
            routes.append(
                "%s: callers=%d in_time=%.3f served=%.3f "
                    .formatted(route, counts.callers, counts.inTimeShare(), counts.servedShare())));
    return routes
        + "refusals=%d retries=%d hedges=%d sends=%d".formatted(refusals, retries, hedges, sends)
        + " other_zone=%.3f probes_per_send=%.2f without_response=%d waits=%d"
            .formatted(otherZoneShare(), probesPerSend(), probesThatGotNoResponse, waits);
  }
}
