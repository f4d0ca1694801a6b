package org.cowslipstair.logic.idempotency;

import java.time.InstantSource;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executor;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.cowslipstair.logic.idempotency.KeyAcquisition.Acquired;
import org.cowslipstair.logic.idempotency.KeyAcquisition.Refused;
import org.cowslipstair.model.call.NotRunReason;
import org.cowslipstair.model.config.ObjectKey;
import org.cowslipstair.model.config.ObjectKind;
import org.cowslipstair.model.config.RuleName;
import org.cowslipstair.model.config.StoredObject;
import org.cowslipstair.port.MonotonicClock;
import org.cowslipstair.port.PlatformStore;
import org.cowslipstair.port.StoreException;

/**
 * Ensures that a call runs at most once per idempotency key: an attempt is created in the
 * platform's store before the call is sent, so a repeat through any gateway finds it and is
 * refused. Thread-safe.
 */
public final class IdempotencyGuard {
  private final PlatformStore store;
  private final IdempotencySettings settings;
  private final MonotonicClock clock;
  private final InstantSource wallClock;
  private final Executor storeExecutor;
  private final Supplier<String> changeIds;
  private final KeyRateLimiter rateLimiter;
  private final BlockingQueue<PendingRelease> pendingReleases;
  private final AtomicLong nextReleaseRetryAtNs = new AtomicLong(Long.MIN_VALUE);
  private final AtomicLong keysRequested = new AtomicLong();

  /**
   * Creates a guard.
   *
   * @param wallClock wall clock that determines when attempts expire
   * @param storeExecutor runs calls to the store, each on its own virtual thread
   * @param changeIds returns a unique identifier for each write
   */
  public IdempotencyGuard(
      PlatformStore store,
      IdempotencySettings settings,
      MonotonicClock clock,
      InstantSource wallClock,
      Executor storeExecutor,
      Supplier<String> changeIds) {
    this.store = store;
    this.settings = settings;
    this.clock = clock;
    this.wallClock = wallClock;
    this.storeExecutor = storeExecutor;
    this.changeIds = changeIds;
    this.rateLimiter =
        new KeyRateLimiter(settings.maxKeysPerSecond(), settings.maxKeyBurst(), clock.nowNs());
    this.pendingReleases = new LinkedBlockingQueue<>(settings.maxPendingReleases());
  }

  /**
   * Acquires a key for one call. Blocks until the store responds, at most until shortly before the
   * deadline.
   *
   * @throws InterruptedException if the caller disconnected; the key is released
   */
  public KeyAcquisition acquire(
      RuleName rule, Optional<String> idempotencyKey, String requestId, long deadlineNs)
      throws InterruptedException {
    if (idempotencyKey.isEmpty() || idempotencyKey.get().isBlank()) {
      return new Refused(NotRunReason.MISSING_KEY);
    }
    long waitNs = deadlineNs - settings.sendReserveNs() - clock.nowNs();
    if (waitNs <= 0) {
      return new Refused(NotRunReason.DEADLINE_TOO_CLOSE);
    }
    if (!rateLimiter.tryAcquire(clock.nowNs())) {
      return new Refused(NotRunReason.STORE_UNAVAILABLE);
    }
    long expiresAtMs = wallClock.millis() + settings.keyLifetimeMs();
    ObjectKey key = AttemptJson.keyOf(rule, idempotencyKey.get());
    String json = AttemptJson.toJson(rule, requestId, expiresAtMs);
    AttemptWriter writer = new AttemptWriter(store, wallClock, key, json, changeIds.get());
    CompletableFuture<KeyAcquisition> acquisition = new CompletableFuture<>();
    storeExecutor.execute(() -> createAttempt(writer, key, acquisition));
    scheduleReleaseRetry();
    return awaitAcquisition(acquisition, waitNs);
  }

  /**
   * Releases a key whose call certainly did not run, so that the caller may retry. Does not block.
   */
  public void release(Acquired attempt) {
    storeExecutor.execute(() -> deleteIfOwn(new PendingRelease(attempt.key(), attempt.changeId())));
  }

  /** Starts retrying pending releases if that is due. Cheap otherwise; does not block. */
  public void scheduleReleaseRetry() {
    long nowNs = clock.nowNs();
    long retryAtNs = nextReleaseRetryAtNs.get();
    boolean isRetryDue = !pendingReleases.isEmpty() && nowNs >= retryAtNs;
    if (isRetryDue
        && nextReleaseRetryAtNs.compareAndSet(
            retryAtNs, nowNs + settings.releaseRetryIntervalNs())) {
      storeExecutor.execute(this::retryPendingReleases);
    }
  }

  /**
   * Deletes expired attempts, with one list call and a bounded number of deletes. Several gateways
   * may sweep concurrently.
   *
   * @return number of attempts deleted
   */
  public int sweep() throws StoreException {
    int deletedCount = 0;
    for (StoredObject attempt : store.list(Set.of(ObjectKind.ATTEMPT)).objects()) {
      if (deletedCount >= settings.maxDeletesPerSweep()) {
        break;
      }
      boolean isExpired = !attempt.deleted() && AttemptJson.isExpired(attempt, wallClock.millis());
      if (isExpired && delete(attempt)) {
        deletedCount++;
      }
    }
    return deletedCount;
  }

  private boolean delete(StoredObject attempt) throws StoreException {
    try {
      store.delete(attempt.key(), attempt.version(), changeIds.get());
      return true;
    } catch (StoreException.VersionConflict ignored) {
      return false;
    }
  }

  private void sweepIgnoringFailure() {
    try {
      sweep();
    } catch (StoreException ignored) {
      // Expired attempts do no harm; the next sweep deletes them.
    }
  }

  /** Retries the releases of this gateway that failed. Blocks on the store. */
  public void retryPendingReleases() {
    int count = pendingReleases.size();
    for (int i = 0; i < count; i++) {
      PendingRelease pending = pendingReleases.poll();
      if (pending == null) {
        return;
      }
      deleteIfOwn(pending);
    }
  }

  private void createAttempt(
      AttemptWriter writer, ObjectKey key, CompletableFuture<KeyAcquisition> acquisition) {
    KeyAcquisition result = writer.createAttempt(settings.maxStoreWritesPerKey());
    boolean accepted = acquisition.complete(result);
    switch (result) {
      case Acquired acquired when !accepted ->
          deleteIfOwn(new PendingRelease(key, acquired.changeId()));
      case Refused _ when writer.mayHaveWritten() ->
          deleteIfOwn(new PendingRelease(key, writer.changeId()));
      case Acquired _, Refused _ -> {}
    }
    if (keysRequested.incrementAndGet() % settings.keysPerSweep() == 0) {
      sweepIgnoringFailure();
    }
  }

  private KeyAcquisition awaitAcquisition(
      CompletableFuture<KeyAcquisition> acquisition, long waitNs) throws InterruptedException {
    Refused timedOut = new Refused(NotRunReason.STORE_UNAVAILABLE);
    try {
      return acquisition.get(waitNs, TimeUnit.NANOSECONDS);
    } catch (TimeoutException ignored) {
      acquisition.complete(timedOut);
      return acquisition.getNow(timedOut);
    } catch (ExecutionException ignored) {
      return timedOut;
    } catch (InterruptedException e) {
      if (!acquisition.complete(timedOut)
          && acquisition.getNow(timedOut) instanceof Acquired acquired) {
        release(acquired);
      }
      throw e;
    }
  }

  private void deleteIfOwn(PendingRelease pending) {
    try {
      Optional<StoredObject> found = store.get(pending.key());
      if (found.isPresent() && found.get().changeId().equals(pending.changeId())) {
        store.delete(pending.key(), found.get().version(), changeIds.get());
      }
    } catch (StoreException.VersionConflict ignored) {
      // The key is held by another call or is already released.
    } catch (StoreException ignored) {
      nextReleaseRetryAtNs.set(clock.nowNs() + settings.releaseRetryIntervalNs());
      pendingReleases.offer(pending);
    }
  }

  /** An attempt of this gateway that has to be deleted if it exists. */
  private record PendingRelease(ObjectKey key, String changeId) {}
}
