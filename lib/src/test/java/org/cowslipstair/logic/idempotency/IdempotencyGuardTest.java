package org.cowslipstair.logic.idempotency;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Instant;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executor;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.cowslipstair.logic.idempotency.FakeStore.Fault;
import org.cowslipstair.logic.idempotency.KeyAcquisition.Acquired;
import org.cowslipstair.logic.idempotency.KeyAcquisition.Refused;
import org.cowslipstair.model.call.NotRunReason;
import org.cowslipstair.model.config.RuleName;
import org.junit.jupiter.api.Test;

final class IdempotencyGuardTest {
  private static final RuleName RULE = new RuleName("payments");
  private static final long DISTANT_DEADLINE_NS = TimeUnit.HOURS.toNanos(1);
  private final FakeStore store = new FakeStore();
  private final AtomicLong nowNs = new AtomicLong();
  private final AtomicLong wallClockMs = new AtomicLong(1_000);
  private final AtomicInteger changeCount = new AtomicInteger();
  private final IdempotencyGuard firstGuard = newGuard(Runnable::run);
  private final IdempotencyGuard secondGuard = newGuard(Runnable::run);

  private IdempotencyGuard newGuard(Executor executor) {
    return new IdempotencyGuard(
        store,
        IdempotencySettings.defaults(),
        nowNs::get,
        () -> Instant.ofEpochMilli(wallClockMs.get()),
        executor,
        () -> "change-" + changeCount.incrementAndGet());
  }

  @Test
  void repeatedKeyIsRefusedByAnotherGateway() throws Exception {
    assertThat(acquire(firstGuard, "k"), instanceOf(Acquired.class));
    assertThat(acquire(secondGuard, "k"), is(new Refused(NotRunReason.DUPLICATE_KEY)));
    assertThat(acquire(secondGuard, "k2"), instanceOf(Acquired.class));
  }

  @Test
  void lostResponsesAreResolvedByReadingBack() throws Exception {
    injectFaults(Fault.LOST_AFTER_WRITE, Fault.NONE);
    assertThat(acquire(firstGuard, "written"), instanceOf(Acquired.class));
    injectFaults(Fault.LOST_BEFORE_WRITE, Fault.NONE);
    assertThat(acquire(firstGuard, "not-written"), instanceOf(Acquired.class));
    injectFaults(Fault.LOST_AFTER_WRITE, Fault.LOST_BEFORE_WRITE, Fault.NONE);
    assertThat(acquire(firstGuard, "both-lost"), instanceOf(Acquired.class));
    assertThat(acquire(secondGuard, "both-lost"), is(new Refused(NotRunReason.DUPLICATE_KEY)));
  }

  @Test
  void keyIsRefusedWhileTheStoreIsDownAndFreeAfterwards() throws Exception {
    injectFaults(Fault.LOST_AFTER_WRITE, Fault.UNAVAILABLE, Fault.UNAVAILABLE);
    assertThat(acquire(firstGuard, "k"), is(new Refused(NotRunReason.STORE_UNAVAILABLE)));
    assertThat(store.size(), is(1));
    firstGuard.scheduleReleaseRetry();
    assertThat("retried too early", store.size(), is(1));
    nowNs.addAndGet(IdempotencySettings.defaults().releaseRetryIntervalNs());
    firstGuard.scheduleReleaseRetry();
    assertThat(store.size(), is(0));
    assertThat(acquire(secondGuard, "k"), instanceOf(Acquired.class));
  }

  @Test
  void keyIsRefusedWhenTheStoreIsTooSlowAndItsLateWriteIsDeleted() throws Exception {
    CountDownLatch storeResponds = new CountDownLatch(1);
    store.beforeCall = () -> await(storeResponds);
    ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor();
    IdempotencyGuard slow = newGuard(threads);
    long deadlineNs = IdempotencySettings.defaults().sendReserveNs() + 1;
    assertThat(
        slow.acquire(RULE, Optional.of("k"), "id", deadlineNs),
        is(new Refused(NotRunReason.STORE_UNAVAILABLE)));
    storeResponds.countDown();
    threads.close();
    assertThat(store.calls.get(), is(3));
    assertThat(store.size(), is(0));
  }

  @Test
  void releasedKeyCanBeAcquiredAgain() throws Exception {
    firstGuard.release((Acquired) acquire(firstGuard, "k"));
    assertThat(acquire(secondGuard, "k"), instanceOf(Acquired.class));
  }

  @Test
  void expiredKeysCanBeAcquiredAgainAndAreSwept() throws Exception {
    for (int i = 0; i < 5; i++) {
      acquire(firstGuard, "old-" + i);
    }
    wallClockMs.addAndGet(IdempotencySettings.defaults().keyLifetimeMs());
    assertThat(acquire(secondGuard, "old-0"), instanceOf(Acquired.class));
    assertThat(firstGuard.sweep(), is(4));
    assertThat(store.size(), is(1));
    assertThat(acquire(firstGuard, "old-0"), is(new Refused(NotRunReason.DUPLICATE_KEY)));
  }

  @Test
  void expiredKeysAreSweptAfterEnoughRequests() throws Exception {
    int keysPerSweep = IdempotencySettings.defaults().keysPerSweep();
    for (int i = 0; i < keysPerSweep; i++) {
      if (i == keysPerSweep - 1) {
        wallClockMs.addAndGet(IdempotencySettings.defaults().keyLifetimeMs());
      }
      nowNs.addAndGet(TimeUnit.SECONDS.toNanos(1));
      assertThat(acquire(firstGuard, "k" + i), instanceOf(Acquired.class));
    }
    assertThat(store.size(), is(1));
  }

  @Test
  void keyIsRefusedIfMissingTooLateOrOverTheRate() throws Exception {
    assertThat(
        firstGuard.acquire(RULE, Optional.empty(), "id", DISTANT_DEADLINE_NS),
        is(new Refused(NotRunReason.MISSING_KEY)));
    assertThat(
        firstGuard.acquire(RULE, Optional.of("k"), "id", 1),
        is(new Refused(NotRunReason.DEADLINE_TOO_CLOSE)));
    for (int i = 0; i < IdempotencySettings.defaults().maxKeyBurst(); i++) {
      assertThat(acquire(firstGuard, "k" + i), instanceOf(Acquired.class));
    }
    int callsBefore = store.calls.get();
    assertThat(acquire(firstGuard, "more"), is(new Refused(NotRunReason.STORE_UNAVAILABLE)));
    assertThat(store.calls.get(), is(callsBefore));
    nowNs.addAndGet(TimeUnit.SECONDS.toNanos(1));
    assertThat(acquire(firstGuard, "more"), instanceOf(Acquired.class));
  }

  @Property(seed = "4511", tries = 400)
  void atMostOneCallAcquiresAKey(@ForAll long seed) throws Exception {
    Random random = new Random(seed);
    FakeStore faultyStore = store;
    faultyStore.faults =
        () -> Fault.values()[random.nextInt(2) == 0 ? 0 : random.nextInt(Fault.values().length)];
    List<IdempotencyGuard> guards = List.of(newGuard(Runnable::run), newGuard(Runnable::run));
    for (int key = 0; key < 20; key++) {
      int acquired = 0;
      for (int i = 0; i < 6; i++) {
        IdempotencyGuard randomGuard = guards.get(random.nextInt(guards.size()));
        if (acquire(randomGuard, seed + "-" + key) instanceof Acquired) {
          acquired++;
        }
        guards.get(random.nextInt(guards.size())).retryPendingReleases();
        nowNs.addAndGet(TimeUnit.SECONDS.toNanos(1));
      }
      assertThat(acquired, lessThanOrEqualTo(1));
    }
  }

  private static KeyAcquisition acquire(IdempotencyGuard guard, String key)
      throws InterruptedException {
    return guard.acquire(RULE, Optional.of(key), "id", Long.MAX_VALUE);
  }

  private void injectFaults(Fault... inOrder) {
    Queue<Fault> faults = new ArrayDeque<>(List.of(inOrder));
    store.faults = () -> faults.isEmpty() ? Fault.NONE : faults.remove();
  }

  private static void await(CountDownLatch latch) {
    try {
      latch.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
