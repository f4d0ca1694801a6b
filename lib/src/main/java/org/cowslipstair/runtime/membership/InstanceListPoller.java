package org.cowslipstair.runtime.membership;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.cowslipstair.model.fleet.InstanceEntry;
import org.cowslipstair.port.PlatformStore;
import org.cowslipstair.port.StoreException;
import org.cowslipstair.runtime.config.StoreBackoff;

/** Reads the platform's list of gateways rarely; new gateways make themselves known by dialling. */
public final class InstanceListPoller implements AutoCloseable {
  private static final long INTERVAL_MS = 30_000;

  private final PlatformStore store;
  private final Consumer<List<InstanceEntry>> receiver;
  private final StoreBackoff backoff;
  private final RandomGenerator random;
  private final AtomicBoolean closed = new AtomicBoolean();
  private final Thread thread;

  /** Creates a poller. */
  public InstanceListPoller(
      PlatformStore store,
      Consumer<List<InstanceEntry>> receiver,
      StoreBackoff backoff,
      RandomGenerator random) {
    this.store = store;
    this.receiver = receiver;
    this.backoff = backoff;
    this.random = random;
    this.thread = Thread.ofVirtual().name("instance-list").unstarted(this::poll);
  }

  /** Starts polling. */
  public void start() {
    thread.start();
  }

  private void poll() {
    int failures = 0;
    while (!closed.get()) {
      long delayMs = INTERVAL_MS / 2 + random.nextLong(INTERVAL_MS);
      try {
        receiver.accept(store.instances());
        failures = 0;
      } catch (StoreException expected) {
        failures++;
        delayMs = backoff.delayMs(failures, random);
      }
      try {
        TimeUnit.MILLISECONDS.sleep(delayMs);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  @Override
  public void close() {
    closed.set(true);
    thread.interrupt();
  }
}
