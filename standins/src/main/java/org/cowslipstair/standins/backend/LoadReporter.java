package org.cowslipstair.standins.backend;

import java.util.concurrent.TimeUnit;

/** Computes the load that the endpoints report, which can be outdated or false. Thread-safe. */
final class LoadReporter {
  private final ServiceModel model;
  private ServiceModel.Load sampled;
  private long sampledAtNs;

  LoadReporter(ServiceModel model) {
    this.model = model;
    this.sampled = model.load();
    this.sampledAtNs = System.nanoTime();
  }

  synchronized ServiceModel.Load reported(Reports reports) {
    long nowNs = System.nanoTime();
    ServiceModel.Load base = sampled;
    if (nowNs - sampledAtNs >= TimeUnit.MILLISECONDS.toNanos(reports.lagMs())) {
      sampled = model.load();
      sampledAtNs = nowNs;
    }
    if (reports.lagMs() == 0) {
      base = sampled;
    }
    BackendHealth health = reports.health() == null ? base.health() : reports.health();
    int inFlight = reports.inFlight() < 0 ? base.inFlight() : reports.inFlight();
    return new ServiceModel.Load(health, inFlight, base.slots(), base.latencyMicros());
  }
}
