package org.cowslipstair.experiments.fleet;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.cowslipstair.experiments.load.HttpCallSender;
import org.cowslipstair.model.config.HostPort;

/** Sends callers only to gateways that are ready, as the platform's balancer does. */
public final class Balancer implements AutoCloseable {
  private static final long POLL_MS = 50;

  private final TrialFleet fleet;
  private final HttpCallSender sender;
  private final Thread thread;

  private Balancer(TrialFleet fleet, HttpCallSender sender) {
    this.fleet = fleet;
    this.sender = sender;
    this.thread = Thread.ofVirtual().unstarted(this::follow);
  }

  /** Starts to follow the readiness of a fleet. */
  public static Balancer start(TrialFleet fleet, HttpCallSender sender) {
    Balancer balancer = new Balancer(fleet, sender);
    balancer.thread.start();
    return balancer;
  }

  private void follow() {
    try {
      while (true) {
        TimeUnit.MILLISECONDS.sleep(POLL_MS);
        List<HostPort> ready = fleet.readyAddresses();
        if (!ready.isEmpty()) {
          sender.setGateways(ready);
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void close() {
    thread.interrupt();
  }
}
