package org.cowslipstair.standins.backend;

import java.util.concurrent.TimeUnit;

/** Keeps the load that the endpoints show, which may be old or false. */
final class LoadReport {
  private final ServiceModel model;
  private ServiceModel.Load shown;
  private long takenNs;

  LoadReport(ServiceModel model) {
    this.model = model;
    this.shown = model.load();
    this.takenNs = System.nanoTime();
  }

  synchronized ServiceModel.Load current(Reports reports) {
    long nowNs = System.nanoTime();
    ServiceModel.Load answer = shown;
    if (nowNs - takenNs >= TimeUnit.MILLISECONDS.toNanos(reports.lagMs())) {
      shown = model.load();
      takenNs = nowNs;
    }
    if (reports.lagMs() == 0) {
      answer = shown;
    }
    BackendHealth health = reports.health() == null ? answer.health() : reports.health();
    int inFlight = reports.inFlight() < 0 ? answer.inFlight() : reports.inFlight();
    return new ServiceModel.Load(health, inFlight, answer.slots(), answer.latencyMicros());
  }
}
