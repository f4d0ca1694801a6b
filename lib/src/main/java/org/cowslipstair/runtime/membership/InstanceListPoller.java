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
import org.jboss.logging.Logger;

/**
 * Polls the platform's list of gateways infrequently, because new gateways connect to the others by
 * themselves.
 */
public final class InstanceListPoller implements AutoCloseable {
  private static final Logger LOG = Logger.getLogger(InstanceListPoller.class);
  private static final long MEAN_INTERVAL_MS = 30_000;

  private final PlatformStore store;
  private final Consumer<List<InstanceEntry>> instanceConsumer;
  private final StoreBackoff backoff;
  private final RandomGenerator random;
  private final AtomicBoolean closed = new AtomicBoolean();
  private final Thread thread;

  /** Creates a poller. */
  public InstanceListPoller(
      PlatformStore store,
      Consumer<List<InstanceEntry>> instanceConsumer,
      StoreBackoff backoff,
      RandomGenerator random) {
    this.store = store;
    this.instanceConsumer = instanceConsumer;
    this.backoff = backoff;
    this.random = random;
    this.thread = Thread.ofVirtual().name("instance-list").unstarted(this::poll);
  }

  /** Starts polling. */
  public void start() {
    thread.start();
  }

  private void poll() {
    int consecutiveFailures = 0;
    while (!closed.get()) {
      long delayMs = MEAN_INTERVAL_MS / 2 + random.nextLong(MEAN_INTERVAL_MS);
      try {
        instanceConsumer.accept(store.instances());
        consecutiveFailures = 0;
      } catch (StoreException expected) {
        consecutiveFailures++;
        delayMs = backoff.delayMs(consecutiveFailures, random);
      } catch (RuntimeException e) {
        LOG.error("fleet: unexpected error, the list of gateways is read again", e);
        consecutiveFailures++;
        delayMs = backoff.delayMs(consecutiveFailures, random);
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
