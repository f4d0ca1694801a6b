package org.cowslipstair.logic.broker;

import org.cowslipstair.model.pool.CallEnd;
import org.cowslipstair.model.pool.CallReport;

/** Moving average of the service time of answered calls. */
final class ServiceTimeAverage {
  private static final double WEIGHT = 1.0 / 16;
  private double averageNs;

  void record(CallReport report) {
    if (report.end() != CallEnd.ANSWERED) {
      return;
    }
    if (averageNs == 0) {
      averageNs = report.serviceTimeNs();
      return;
    }
    averageNs += WEIGHT * (report.serviceTimeNs() - averageNs);
  }

  /** Returns the average, 0 while no call was answered. */
  double averageNs() {
    return averageNs;
  }
}
