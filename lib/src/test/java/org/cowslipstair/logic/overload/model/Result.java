package org.cowslipstair.logic.overload.model;

/** Counts of callers whose first attempt fell into the trouble, and of probes. */
final class Result {
  int callers;
  int inTime;
  int late;
  int failed;
  int refusals;
  int hedges;
  int retries;
  int otherZone;
  int sends;
  long probes;
  long probesThatGotNoResponse;

  double inTimeShare() {
    return (double) inTime / callers;
  }

  double servedShare() {
    return (double) (inTime + late) / callers;
  }

  double otherZoneShare() {
    return (double) otherZone / sends;
  }

  double probesPerSend() {
    return (double) probes / sends;
  }

  @Override
  public String toString() {
    return "callers=%d in_time=%.3f served=%.3f refusals=%d retries=%d hedges=%d sends=%d"
            .formatted(callers, inTimeShare(), servedShare(), refusals, retries, hedges, sends)
        + " other_zone=%.3f probes_per_send=%.2f without_response=%d"
            .formatted(otherZoneShare(), probesPerSend(), probesThatGotNoResponse);
  }
}
