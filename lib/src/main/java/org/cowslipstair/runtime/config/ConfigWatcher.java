package org.cowslipstair.runtime.config;

import java.util.EnumSet;
import java.util.Set;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import java.util.function.IntSupplier;
import java.util.random.RandomGenerator;
import org.cowslipstair.logic.config.ConfigBatch;
import org.cowslipstair.model.config.ConfigVersion;
import org.cowslipstair.model.config.ObjectKind;
import org.cowslipstair.port.PlatformStore;
import org.cowslipstair.port.PlatformStore.ObjectBatch;
import org.cowslipstair.port.StoreException;
import org.jboss.logging.Logger;

/**
 * Lists the configuration once, then watches it. The gateways of a fleet take turns to list again,
 * so that a change is found even while every watch hangs; peers pass it on. Only where the gateway
 * has lost the majority of its peers does a second loop ask the store each second whether anything
 * was missed.
 */
public final class ConfigWatcher implements AutoCloseable {
  private static final Logger LOG = Logger.getLogger(ConfigWatcher.class);
  private static final long MIN_WATCH_MS = 15_000;
  private static final long MAX_WATCH_MS = 25_000;
  private static final long CONFIRM_INTERVAL_MS = 1_000;
  private static final long FLEET_RECHECK_INTERVAL_MS = 1_000;

  private final PlatformStore store;
  private final ConfigRuntime runtime;
  private final StoreBackoff backoff;
  private final RandomGenerator random;
  private final BooleanSupplier wantsStoreContact;
  private final AtomicBoolean closed = new AtomicBoolean();
  private final Thread watcher;
  private final Thread confirmer;
  private final Thread rechecker;
  private final IntSupplier gateways;
  private boolean listNext = true;
  private int failures;

  /**
   * Creates a watcher.
   *
   * @param wantsStoreContact whether the store has to confirm what is in force; read on any thread
   * @param gateways number of gateways that share the work of listing again; read on any thread
   */
  public ConfigWatcher(
      PlatformStore store,
      ConfigRuntime runtime,
      StoreBackoff backoff,
      RandomGenerator random,
      BooleanSupplier wantsStoreContact,
      IntSupplier gateways) {
    this.store = store;
    this.runtime = runtime;
    this.backoff = backoff;
    this.random = random;
    this.wantsStoreContact = wantsStoreContact;
    this.gateways = gateways;
    this.rechecker = Thread.ofVirtual().name("config-recheck").unstarted(this::recheck);
    this.watcher = Thread.ofVirtual().name("config-watch").unstarted(this::watch);
    this.confirmer = Thread.ofVirtual().name("config-confirm").unstarted(this::confirm);
  }

  private static Set<ObjectKind> kinds() {
    Set<ObjectKind> kinds = EnumSet.allOf(ObjectKind.class);
    kinds.removeIf(kind -> !kind.isConfiguration());
    return kinds;
  }

  /** Starts watching. */
  public void start() {
    watcher.start();
    confirmer.start();
    rechecker.start();
  }

  private void watch() {
    while (!closed.get()) {
      try {
        step();
        if (runtime.awaitListRequest(backoff.delayMs(failures, random))) {
          listNext = true;
        }
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  /** Makes one call of the store. */
  private void step() throws InterruptedException {
    boolean isList = listNext;
    try {
      boolean listAgain = isList ? listOnce() : watchOnce(nextWatchMs());
      listNext = listAgain;
      failures = isList && listAgain ? failures + 1 : 0;
    } catch (StoreException.RevisionGone e) {
      listNext = true;
      failures = 0;
    } catch (StoreException e) {
      if (failures == 0) {
        LOG.warnf("config: %s", e.getMessage());
      }
      failures++;
    }
  }

  private long nextWatchMs() {
    return random.nextLong(MIN_WATCH_MS, MAX_WATCH_MS);
  }

  private boolean listOnce() throws StoreException, InterruptedException {
    ConfigVersion askedAt = runtime.inForce();
    ObjectBatch batch = store.list(kinds());
    return take(new ConfigBatch(batch.storeId(), 0, batch.revision(), batch.objects()), askedAt);
  }

  private boolean watchOnce(long timeoutMs) throws StoreException, InterruptedException {
    ConfigVersion askedAt = runtime.inForce();
    ObjectBatch batch = store.watch(kinds(), askedAt.revision(), timeoutMs);
    return take(
        new ConfigBatch(batch.storeId(), askedAt.revision(), batch.revision(), batch.objects()),
        askedAt);
  }

  private boolean take(ConfigBatch batch, ConfigVersion askedAt) throws InterruptedException {
    try {
      return runtime.onStoreBatch(batch, askedAt).get();
    } catch (ExecutionException e) {
      LOG.error("config: a batch of the store failed", e);
      return true;
    }
  }

  private void confirm() {
    while (!closed.get()) {
      try {
        TimeUnit.MILLISECONDS.sleep(CONFIRM_INTERVAL_MS / 2 + random.nextLong(CONFIRM_INTERVAL_MS));
        if (wantsStoreContact.getAsBoolean() && !runtime.inForce().isNone()) {
          watchOnce(0);
        }
      } catch (StoreException expected) {
        // The membership notices that no confirmation came.
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  /** Lists again from time to time, about once a second in the whole fleet, as a watch may hang. */
  private void recheck() {
    while (!closed.get()) {
      try {
        long meanMs = FLEET_RECHECK_INTERVAL_MS * Math.max(1, gateways.getAsInt());
        TimeUnit.MILLISECONDS.sleep(meanMs / 2 + random.nextLong(meanMs));
        if (!runtime.inForce().isNone()) {
          listOnce();
        }
      } catch (StoreException expected) {
        // The loop that watches reports an outage.
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  @Override
  public void close() {
    closed.set(true);
    watcher.interrupt();
    confirmer.interrupt();
    rechecker.interrupt();
  }
}
