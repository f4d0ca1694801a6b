package org.cowslipstair.logic.attempt;

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
import org.cowslipstair.logic.attempt.AttemptStart.Begun;
import org.cowslipstair.logic.attempt.AttemptStart.Refused;
import org.cowslipstair.logic.attempt.FakeStore.Fault;
import org.cowslipstair.model.call.NotRunReason;
import org.cowslipstair.model.config.RuleName;
import org.junit.jupiter.api.Test;

final class AttemptGuardTest {
  private static final RuleName RULE = new RuleName("payments");
  private static final long FAR_NS = TimeUnit.HOURS.toNanos(1);
  private final FakeStore store = new FakeStore();
  private final AtomicLong nowNs = new AtomicLong();
  private final AtomicLong wallClockMs = new AtomicLong(1_000);
  private final AtomicInteger changes = new AtomicInteger();
  private final AttemptGuard one = guard(Runnable::run);
  private final AttemptGuard other = guard(Runnable::run);

  private AttemptGuard guard(Executor executor) {
    return new AttemptGuard(
        store,
        AttemptSettings.defaults(),
        nowNs::get,
        () -> Instant.ofEpochMilli(wallClockMs.get()),
        executor,
        () -> "change-" + changes.incrementAndGet());
  }

  @Test
  void repeatThroughAnotherGatewayIsRefused() throws Exception {
    assertThat(begin(one, "k"), instanceOf(Begun.class));
    assertThat(begin(other, "k"), is(new Refused(NotRunReason.DUPLICATE_KEY)));
    assertThat(begin(other, "k2"), instanceOf(Begun.class));
  }

  @Test
  void lostAnswersAreResolvedByReadingBack() throws Exception {
    faults(Fault.LOST_AFTER_WRITE, Fault.NONE);
    assertThat(begin(one, "written"), instanceOf(Begun.class));
    faults(Fault.LOST_BEFORE_WRITE, Fault.NONE);
    assertThat(begin(one, "not-written"), instanceOf(Begun.class));
    faults(Fault.LOST_AFTER_WRITE, Fault.LOST_BEFORE_WRITE, Fault.NONE);
    assertThat(begin(one, "both-lost"), instanceOf(Begun.class));
    assertThat(begin(other, "both-lost"), is(new Refused(NotRunReason.DUPLICATE_KEY)));
  }

  @Test
  void refusedWhileTheStoreIsDownAndTheKeyIsFreeAfterwards() throws Exception {
    faults(Fault.LOST_AFTER_WRITE, Fault.UNAVAILABLE, Fault.UNAVAILABLE);
    assertThat(begin(one, "k"), is(new Refused(NotRunReason.STORE_UNAVAILABLE)));
    assertThat(store.size(), is(1));
    one.maintain();
    assertThat("retried too early", store.size(), is(1));
    nowNs.addAndGet(AttemptSettings.defaults().pendingRetryNs());
    one.maintain();
    assertThat(store.size(), is(0));
    assertThat(begin(other, "k"), instanceOf(Begun.class));
  }

  @Test
  void refusedWhenTheStoreIsTooSlowAndTheLateWriteIsUndone() throws Exception {
    CountDownLatch storeAnswers = new CountDownLatch(1);
    store.beforeCall = () -> await(storeAnswers);
    ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor();
    AttemptGuard slow = guard(threads);
    long deadlineNs = AttemptSettings.defaults().sendReserveNs() + 1;
    assertThat(
        slow.begin(RULE, Optional.of("k"), "id", deadlineNs),
        is(new Refused(NotRunReason.STORE_UNAVAILABLE)));
    storeAnswers.countDown();
    threads.close();
    assertThat(store.calls.get(), is(3));
    assertThat(store.size(), is(0));
  }

  @Test
  void releasedKeyMayBeUsedAgain() throws Exception {
    one.release((Begun) begin(one, "k"));
    assertThat(begin(other, "k"), instanceOf(Begun.class));
  }

  @Test
  void expiredAttemptsAreTakenOverAndSwept() throws Exception {
    for (int i = 0; i < 5; i++) {
      begin(one, "old-" + i);
    }
    wallClockMs.addAndGet(AttemptSettings.defaults().keptMs());
    assertThat(begin(other, "old-0"), instanceOf(Begun.class));
    assertThat(one.sweep(), is(4));
    assertThat(store.size(), is(1));
    assertThat(begin(one, "old-0"), is(new Refused(NotRunReason.DUPLICATE_KEY)));
  }

  @Test
  void gatewayThatTakesKeysSweepsByItself() throws Exception {
    int keysPerSweep = AttemptSettings.defaults().keysPerSweep();
    for (int i = 0; i < keysPerSweep; i++) {
      if (i == keysPerSweep - 1) {
        wallClockMs.addAndGet(AttemptSettings.defaults().keptMs());
      }
      nowNs.addAndGet(TimeUnit.SECONDS.toNanos(1));
      assertThat(begin(one, "k" + i), instanceOf(Begun.class));
    }
    assertThat(store.size(), is(1));
  }

  @Test
  void refusedWithoutKeyWithoutTimeAndPastTheRate() throws Exception {
    assertThat(
        one.begin(RULE, Optional.empty(), "id", FAR_NS), is(new Refused(NotRunReason.MISSING_KEY)));
    assertThat(
        one.begin(RULE, Optional.of("k"), "id", 1),
        is(new Refused(NotRunReason.DEADLINE_TOO_CLOSE)));
    for (int i = 0; i < AttemptSettings.defaults().burst(); i++) {
      assertThat(begin(one, "k" + i), instanceOf(Begun.class));
    }
    int callsBefore = store.calls.get();
    assertThat(begin(one, "more"), is(new Refused(NotRunReason.STORE_UNAVAILABLE)));
    assertThat(store.calls.get(), is(callsBefore));
    nowNs.addAndGet(TimeUnit.SECONDS.toNanos(1));
    assertThat(begin(one, "more"), instanceOf(Begun.class));
  }

  @Property(seed = "4511", tries = 400)
  void oneGatewayAtMostBeginsUnderOneKey(@ForAll long seed) throws Exception {
    Random random = new Random(seed);
    FakeStore faulty = store;
    faulty.faults =
        () -> Fault.values()[random.nextInt(2) == 0 ? 0 : random.nextInt(Fault.values().length)];
    List<AttemptGuard> guards = List.of(guard(Runnable::run), guard(Runnable::run));
    for (int key = 0; key < 20; key++) {
      int begun = 0;
      for (int i = 0; i < 6; i++) {
        AttemptGuard guard = guards.get(random.nextInt(guards.size()));
        if (begin(guard, seed + "-" + key) instanceof Begun) {
          begun++;
        }
        guards.get(random.nextInt(guards.size())).retryLeftovers();
        nowNs.addAndGet(TimeUnit.SECONDS.toNanos(1));
      }
      assertThat(begun, lessThanOrEqualTo(1));
    }
  }

  private static AttemptStart begin(AttemptGuard guard, String key) throws InterruptedException {
    return guard.begin(RULE, Optional.of(key), "id", Long.MAX_VALUE);
  }

  private void faults(Fault... inOrder) {
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
