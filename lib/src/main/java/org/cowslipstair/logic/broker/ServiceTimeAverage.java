package org.cowslipstair.logic.broker;

import org.cowslipstair.model.pool.CallOutcome;
import org.cowslipstair.model.pool.CallReport;

/** Exponential moving average of the service times of calls that got a response. */
final class ServiceTimeAverage {
  private static final double SAMPLE_WEIGHT = 1.0 / 16;
  private double averageNs;

  void record(CallReport report) {
    if (report.end() != CallOutcome.ANSWERED) {
      return;
    }
    if (averageNs == 0) {
      averageNs = report.serviceTimeNs();
      return;
    }
    averageNs += SAMPLE_WEIGHT * (report.serviceTimeNs() - averageNs);
  }

  /** Returns the average in nanoseconds; 0 until a call got a response. */
  double averageNs() {
    return averageNs;
  }
}
