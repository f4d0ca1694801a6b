package org.cowslipstair.logic.attempt;

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
import org.cowslipstair.logic.attempt.AttemptStart.Begun;
import org.cowslipstair.logic.attempt.AttemptStart.Refused;
import org.cowslipstair.model.call.NotRunReason;
import org.cowslipstair.model.config.ObjectKey;
import org.cowslipstair.model.config.ObjectKind;
import org.cowslipstair.model.config.RuleName;
import org.cowslipstair.model.config.StoredObject;
import org.cowslipstair.port.MonotonicClock;
import org.cowslipstair.port.PlatformStore;
import org.cowslipstair.port.StoreException;

/**
 * Lets a call run at most once for one idempotency key: an attempt is created in the platform's
 * store before the call is sent, and a repeat through any gateway finds it. Safe for use by many
 * threads.
 */
public final class AttemptGuard {
  private final PlatformStore store;
  private final AttemptSettings settings;
  private final MonotonicClock clock;
  private final InstantSource wallClock;
  private final Executor storeThreads;
  private final Supplier<String> changeIds;
  private final RateCap rateCap;
  private final BlockingQueue<Leftover> leftovers;
  private final AtomicLong leftoversRetryAtNs = new AtomicLong(Long.MIN_VALUE);
  private final AtomicLong keysTaken = new AtomicLong();

  /**
   * Creates a guard.
   *
   * @param wallClock time by which attempts expire
   * @param storeThreads runs calls to the store; one virtual thread each
   * @param changeIds returns identifiers that no other write has
   */
  public AttemptGuard(
      PlatformStore store,
      AttemptSettings settings,
      MonotonicClock clock,
      InstantSource wallClock,
      Executor storeThreads,
      Supplier<String> changeIds) {
    this.store = store;
    this.settings = settings;
    this.clock = clock;
    this.wallClock = wallClock;
    this.storeThreads = storeThreads;
    this.changeIds = changeIds;
    this.rateCap = new RateCap(settings.attemptsPerSecond(), settings.burst(), clock.nowNs());
    this.leftovers = new LinkedBlockingQueue<>(settings.maxPending());
  }

  /**
   * Takes a key for one call.
   *
   * @throws InterruptedException if the caller went away; the key is given back
   */
  public AttemptStart begin(
      RuleName rule, Optional<String> idempotencyKey, String requestId, long deadlineNs)
      throws InterruptedException {
    if (idempotencyKey.isEmpty() || idempotencyKey.get().isBlank()) {
      return new Refused(NotRunReason.MISSING_KEY);
    }
    long waitNs = deadlineNs - settings.sendReserveNs() - clock.nowNs();
    if (waitNs <= 0) {
      return new Refused(NotRunReason.DEADLINE_TOO_CLOSE);
    }
    if (!rateCap.tryTake(clock.nowNs())) {
      return new Refused(NotRunReason.STORE_UNAVAILABLE);
    }
    long expiresAtMs = wallClock.millis() + settings.keptMs();
    ObjectKey key = AttemptBody.keyOf(rule, idempotencyKey.get());
    String json = AttemptBody.write(rule, requestId, expiresAtMs);
    AttemptWriter writer = new AttemptWriter(store, wallClock, key, json, changeIds.get());
    CompletableFuture<AttemptStart> started = new CompletableFuture<>();
    storeThreads.execute(() -> write(writer, key, started));
    maintain();
    return await(started, waitNs);
  }

  /** Gives a key back after its call surely did not run, so that the caller may try again. */
  public void release(Begun attempt) {
    storeThreads.execute(() -> remove(new Leftover(attempt.key(), attempt.changeId())));
  }

  /** Starts the clean-up that is due; cheap when there is none. Does not block. */
  public void maintain() {
    long nowNs = clock.nowNs();
    long retryAtNs = leftoversRetryAtNs.get();
    boolean retryDue = !leftovers.isEmpty() && nowNs >= retryAtNs;
    if (retryDue
        && leftoversRetryAtNs.compareAndSet(retryAtNs, nowNs + settings.pendingRetryNs())) {
      storeThreads.execute(this::retryLeftovers);
    }
  }

  /**
   * Removes expired attempts. Makes one list call and a bounded number of deletes. Gateways that
   * sweep at the same time do each other no harm.
   *
   * @return number of attempts that were removed
   */
  public int sweep() throws StoreException {
    int removed = 0;
    for (StoredObject attempt : store.list(Set.of(ObjectKind.ATTEMPT)).objects()) {
      if (removed >= settings.maxDeletesPerSweep()) {
        break;
      }
      if (AttemptBody.isExpired(attempt, wallClock.millis()) && delete(attempt)) {
        removed++;
      }
    }
    return removed;
  }

  private boolean delete(StoredObject attempt) throws StoreException {
    try {
      store.delete(attempt.key(), attempt.version(), changeIds.get());
      return true;
    } catch (StoreException.VersionConflict ignored) {
      return false;
    }
  }

  private void sweepQuietly() {
    try {
      sweep();
    } catch (StoreException ignored) {
      // Expired attempts do no harm; the next sweep removes them.
    }
  }

  /** Removes attempts of this gateway that could not be removed when their call was refused. */
  public void retryLeftovers() {
    int count = leftovers.size();
    for (int i = 0; i < count; i++) {
      Leftover leftover = leftovers.poll();
      if (leftover == null) {
        return;
      }
      remove(leftover);
    }
  }

  private void write(AttemptWriter writer, ObjectKey key, CompletableFuture<AttemptStart> started) {
    AttemptStart start = writer.write(settings.maxStoreCalls());
    boolean taken = started.complete(start);
    switch (start) {
      case Begun begun when !taken -> remove(new Leftover(key, begun.changeId()));
      case Refused _ when writer.mayBeWritten() -> remove(new Leftover(key, writer.changeId()));
      case Begun _, Refused _ -> {}
    }
    if (keysTaken.incrementAndGet() % settings.keysPerSweep() == 0) {
      sweepQuietly();
    }
  }

  private AttemptStart await(CompletableFuture<AttemptStart> started, long waitNs)
      throws InterruptedException {
    Refused late = new Refused(NotRunReason.STORE_UNAVAILABLE);
    try {
      return started.get(waitNs, TimeUnit.NANOSECONDS);
    } catch (TimeoutException ignored) {
      started.complete(late);
      return started.getNow(late);
    } catch (ExecutionException ignored) {
      return late;
    } catch (InterruptedException e) {
      if (!started.complete(late) && started.getNow(late) instanceof Begun begun) {
        release(begun);
      }
      throw e;
    }
  }

  private void remove(Leftover leftover) {
    try {
      Optional<StoredObject> found = store.get(leftover.key());
      if (found.isPresent() && found.get().changeId().equals(leftover.changeId())) {
        store.delete(leftover.key(), found.get().version(), changeIds.get());
      }
    } catch (StoreException.VersionConflict ignored) {
      // The key has another owner or none.
    } catch (StoreException ignored) {
      leftoversRetryAtNs.set(clock.nowNs() + settings.pendingRetryNs());
      leftovers.offer(leftover);
    }
  }

  /** An attempt of this gateway that may have to be removed. */
  private record Leftover(ObjectKey key, String changeId) {}
}
