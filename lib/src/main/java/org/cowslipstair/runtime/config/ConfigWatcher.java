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
 * Lists the configuration once, then watches it for changes. About once a second, one gateway of
 * the fleet lists it again, so that a change is detected even if every watch hangs; peers propagate
 * it. A gateway that has lost the majority of its peers also polls the store about once a second,
 * to confirm that it has missed no change.
 */
public final class ConfigWatcher implements AutoCloseable {
  private static final Logger LOG = Logger.getLogger(ConfigWatcher.class);
  private static final long MIN_WATCH_TIMEOUT_MS = 15_000;
  private static final long MAX_WATCH_TIMEOUT_MS = 25_000;
  private static final long MEAN_CONFIRM_INTERVAL_MS = 1_000;
  private static final long MEAN_FLEET_RECHECK_INTERVAL_MS = 1_000;

  private final PlatformStore store;
  private final ConfigRuntime runtime;
  private final StoreBackoff backoff;
  private final RandomGenerator random;
  private final BooleanSupplier needsStoreConfirmation;
  private final AtomicBoolean closed = new AtomicBoolean();
  private final Thread watchThread;
  private final Thread confirmThread;
  private final Thread recheckThread;
  private final IntSupplier gatewayCount;
  private boolean shouldListNext = true;
  private int consecutiveFailures;

  /**
   * Creates a watcher.
   *
   * @param needsStoreConfirmation whether the store must confirm the configuration in force; called
   *     on any thread
   * @param gatewayCount number of gateways that share the repeated listing; called on any thread
   */
  public ConfigWatcher(
      PlatformStore store,
      ConfigRuntime runtime,
      StoreBackoff backoff,
      RandomGenerator random,
      BooleanSupplier needsStoreConfirmation,
      IntSupplier gatewayCount) {
    this.store = store;
    this.runtime = runtime;
    this.backoff = backoff;
    this.random = random;
    this.needsStoreConfirmation = needsStoreConfirmation;
    this.gatewayCount = gatewayCount;
    this.recheckThread = Thread.ofVirtual().name("config-recheck").unstarted(this::runRecheckLoop);
    this.watchThread = Thread.ofVirtual().name("config-watch").unstarted(this::runWatchLoop);
    this.confirmThread = Thread.ofVirtual().name("config-confirm").unstarted(this::runConfirmLoop);
  }

  private static Set<ObjectKind> configurationKinds() {
    Set<ObjectKind> kinds = EnumSet.allOf(ObjectKind.class);
    kinds.removeIf(kind -> !kind.isConfiguration());
    return kinds;
  }

  /** Starts the threads that call the store. */
  public void start() {
    watchThread.start();
    confirmThread.start();
    recheckThread.start();
  }

  private void runWatchLoop() {
    while (!closed.get()) {
      try {
        listOrWatch();
        if (runtime.awaitListRequest(backoff.delayMs(consecutiveFailures, random))) {
          shouldListNext = true;
        }
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  /** Makes one list or watch call to the store. */
  private void listOrWatch() throws InterruptedException {
    boolean isList = shouldListNext;
    try {
      boolean shouldListAgain = isList ? listOnce() : watchOnce(nextWatchTimeoutMs());
      shouldListNext = shouldListAgain;
      consecutiveFailures = isList && shouldListAgain ? consecutiveFailures + 1 : 0;
    } catch (StoreException.RevisionGone e) {
      shouldListNext = true;
      consecutiveFailures = 0;
    } catch (StoreException e) {
      if (consecutiveFailures == 0) {
        LOG.warnf("config: %s", e.getMessage());
      }
      consecutiveFailures++;
    } catch (RuntimeException e) {
      LOG.error("config: unexpected error, the store is listed again", e);
      shouldListNext = true;
      consecutiveFailures++;
    }
  }

  private long nextWatchTimeoutMs() {
    return random.nextLong(MIN_WATCH_TIMEOUT_MS, MAX_WATCH_TIMEOUT_MS);
  }

  private boolean listOnce() throws StoreException, InterruptedException {
    ConfigVersion versionAtRequest = runtime.versionInForce();
    ObjectBatch batch = store.list(configurationKinds());
    return applyBatch(
        new ConfigBatch(batch.storeId(), 0, batch.revision(), batch.lost(), batch.objects()),
        versionAtRequest);
  }

  private boolean watchOnce(long timeoutMs) throws StoreException, InterruptedException {
    ConfigVersion versionAtRequest = runtime.versionInForce();
    ObjectBatch batch = store.watch(configurationKinds(), versionAtRequest.revision(), timeoutMs);
    return applyBatch(
        new ConfigBatch(
            batch.storeId(),
            versionAtRequest.revision(),
            batch.revision(),
            batch.lost(),
            batch.objects()),
        versionAtRequest);
  }

  private boolean applyBatch(ConfigBatch batch, ConfigVersion versionAtRequest)
      throws InterruptedException {
    try {
      return runtime.onStoreBatch(batch, versionAtRequest).get();
    } catch (ExecutionException e) {
      LOG.error("config: applying a batch from the store failed", e);
      return true;
    }
  }

  private void runConfirmLoop() {
    while (!closed.get()) {
      try {
        TimeUnit.MILLISECONDS.sleep(
            MEAN_CONFIRM_INTERVAL_MS / 2 + random.nextLong(MEAN_CONFIRM_INTERVAL_MS));
        if (needsStoreConfirmation.getAsBoolean() && !runtime.versionInForce().isNone()) {
          watchOnce(0);
        }
      } catch (StoreException expected) {
        // Membership detects the missing confirmation.
      } catch (RuntimeException e) {
        LOG.error("config: unexpected error, the store is asked again", e);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  /**
   * Lists at random intervals, about once a second in the whole fleet, because a watch may hang.
   */
  private void runRecheckLoop() {
    while (!closed.get()) {
      try {
        long meanMs = MEAN_FLEET_RECHECK_INTERVAL_MS * Math.max(1, gatewayCount.getAsInt());
        TimeUnit.MILLISECONDS.sleep(meanMs / 2 + random.nextLong(meanMs));
        if (!runtime.versionInForce().isNone()) {
          listOnce();
        }
      } catch (StoreException expected) {
        // The watch loop reports an outage.
      } catch (RuntimeException e) {
        LOG.error("config: unexpected error, the store is listed again", e);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  @Override
  public void close() {
    closed.set(true);
    watchThread.interrupt();
    confirmThread.interrupt();
    recheckThread.interrupt();
  }
}
