package org.cowslipstair.experiments.plan;

import java.util.concurrent.TimeUnit;
import org.cowslipstair.experiments.fleet.TrialFleet;
import org.cowslipstair.gateway.GatewayProcess;
import org.cowslipstair.logic.broker.BrokerStatus;
import org.cowslipstair.model.config.BackendServer;

/** Samples what brokers allow and have granted, as shares of all slots. */
final class LimitSampler implements Runnable {
  private static final long INTERVAL_MS = 250;

  private final TrialFleet fleet;
  private final long slots;
  private volatile long samples;
  private volatile long limits;
  private volatile long leases;
  private volatile long waiting;
  private volatile long mostWaiting;

  LimitSampler(TrialFleet fleet) {
    this.fleet = fleet;
    this.slots = fleet.deployment().backends().stream().mapToLong(BackendServer::slots).sum();
  }

  /** Means over the samples of one phase, and the longest queue of all pools together. */
  record Means(double limitShare, double leaseShare, double waiting, long mostWaiting) {}

  Means means() {
    double count = Math.max(1, samples);
    return new Means(limits / count / slots, leases / count / slots, waiting / count, mostWaiting);
  }

  @Override
  public void run() {
    try {
      while (true) {
        TimeUnit.MILLISECONDS.sleep(INTERVAL_MS);
        sample();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void sample() {
    long waitingBefore = waiting;
    for (GatewayProcess gateway : fleet.gateways().values()) {
      for (BrokerStatus broker : gateway.state().leases().brokers()) {
        waiting += broker.queueLength();
        for (BrokerStatus.BackendStatus backend : broker.backends()) {
          limits += backend.limit();
          leases += backend.out();
        }
      }
    }
    samples++;
    mostWaiting = Math.max(mostWaiting, waiting - waitingBefore);
  }
}
