package org.cowslipstair.experiments.fleet;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.cowslipstair.experiments.load.HttpCallSender;
import org.cowslipstair.model.config.HostPort;

/** Sends callers only to gateways that are ready, as the platform's balancer does. */
public final class Balancer implements AutoCloseable {
  private static final long POLL_MS = 50;

  private final Supplier<List<HostPort>> readyAddresses;
  private final HttpCallSender sender;
  private final Thread thread;

  private Balancer(Supplier<List<HostPort>> readyAddresses, HttpCallSender sender) {
    this.readyAddresses = readyAddresses;
    this.sender = sender;
    this.thread = Thread.ofVirtual().unstarted(this::follow);
  }

  /** Starts to follow the readiness of a fleet. */
  public static Balancer start(Supplier<List<HostPort>> readyAddresses, HttpCallSender sender) {
    Balancer balancer = new Balancer(readyAddresses, sender);
    balancer.thread.start();
    return balancer;
  }

  private void follow() {
    try {
      while (true) {
        TimeUnit.MILLISECONDS.sleep(POLL_MS);
        List<HostPort> ready = readyAddresses.get();
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
