package org.cowslipstair.logic.call;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.startsWith;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import org.cowslipstair.logic.call.CallResult.MayHaveRun;
import org.cowslipstair.logic.call.CallResult.NotRun;
import org.cowslipstair.logic.stop.PlannedStop;
import org.cowslipstair.model.call.MayHaveRunReason;
import org.cowslipstair.model.call.NotRunReason;
import org.cowslipstair.model.config.BackendName;
import org.cowslipstair.model.config.BackendServer;
import org.cowslipstair.model.config.ConfigSnapshot;
import org.cowslipstair.model.config.Labels;
import org.cowslipstair.model.pool.CallOutcome;
import org.cowslipstair.port.BackendException;
import org.cowslipstair.port.BackendTransport;
import org.cowslipstair.port.BackendTransport.BackendRequest;
import org.cowslipstair.port.BackendTransport.BackendRequestBody;
import org.cowslipstair.port.BackendTransport.BackendResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

final class CallServiceTest {
  private static final int WARM_UP_CALLS = 120;

  /**
   * Time after which a hedge is due; calls of the warm-up take 5 ms. A losing attempt is cancelled
   * after the same time again, which this must stay below.
   */
  private static final long HEDGE_DUE_MS = 7;

  private final AtomicInteger hedgesScheduledBefore = new AtomicInteger();
  private final AtomicInteger sends = new AtomicInteger();
  private volatile BackendTransport behaviour = (_, _) -> FakeResponse.complete("ok");
  private final CallFixture fixture = new CallFixture(this::send, 11);

  private BackendResponse send(BackendServer backend, BackendRequest call)
      throws BackendException, InterruptedException {
    sends.incrementAndGet();
    fixture.nowNs.addAndGet(5 * CallFixture.NS_PER_MS);
    return behaviour.send(backend, call);
  }

  @AfterEach
  void everySlotIsReleased() {
    fixture.close();
    assertThat(fixture.admission.heldSlots.get(), is(0));
  }

  @Test
  void idempotentCallIsRetriedAfterLostConnection() throws Exception {
    warmUp();
    behaviour = failFirstSend(b -> new BackendException.ConnectionLost(b, new IOException()));
    assertThat(CallFixture.text(fixture.call("a", "GET")), is("ok"));
    assertThat(sends.get(), is(WARM_UP_CALLS + 2));
    assertThat(releasedCallEnds(), hasItem(CallOutcome.FAILED));
  }

  @Test
  void nonIdempotentCallIsNotRetriedAfterLostConnection() throws Exception {
    warmUp();
    behaviour = failFirstSend(b -> new BackendException.ConnectionLost(b, new IOException()));
    CallResult result = fixture.call("a", "POST");
    assertThat(result, is(new MayHaveRun(MayHaveRunReason.CONNECTION_LOST)));
    assertThat(sends.get(), is(WARM_UP_CALLS + 1));
  }

  @Test
  void nonIdempotentCallIsRetriedWhenNotSentOrShed() throws Exception {
    behaviour = failFirstSend(b -> new BackendException.NotSent(b, new IOException()));
    assertThat(CallFixture.text(fixture.call("a", "POST")), is("ok"));
    AtomicInteger count = new AtomicInteger();
    behaviour =
        (_, _) -> count.getAndIncrement() == 0 ? FakeResponse.shed() : FakeResponse.complete("b");
    assertThat(CallFixture.text(fixture.call("b", "POST")), is("b"));
  }

  @Test
  void callShedByEveryBackendIsNotRun() throws Exception {
    warmUp();
    behaviour = (_, _) -> FakeResponse.shed();
    NotRun result = (NotRun) fixture.call("a", "POST");
    assertThat(result.reason(), is(NotRunReason.BACKEND_SHED));
    assertThat(result.retryAfterMs() >= 1_000 && result.retryAfterMs() <= 3_000, is(true));
    assertThat(sends.get(), is(WARM_UP_CALLS + 3));
  }

  @Test
  void callIsRetriedOnTheOnlyBackend() throws Exception {
    warmUp();
    BackendName only = fixture.backends.getFirst().name();
    fixture.admission.isOffered = only::equals;
    behaviour = failFirstSend(b -> new BackendException.ConnectionLost(b, new IOException()));
    assertThat(CallFixture.text(fixture.call("a", "GET")), is("ok"));
  }

  @Test
  void partlyReadRequestStreamIsNotRetried() throws Exception {
    warmUp();
    behaviour =
        (_, call) -> {
          readOneByte(call);
          return FakeResponse.shed();
        };
    BackendRequestBody body =
        new BackendRequestBody.Streamed(new ByteArrayInputStream(new byte[9]), 9);
    CallResult result = fixture.service.handle(fixture.request("a", "POST", "/", body));
    assertThat(((NotRun) result).reason(), is(NotRunReason.BACKEND_SHED));
    assertThat(sends.get(), is(WARM_UP_CALLS + 1));
  }

  @Test
  void retriesStayWithinTheirShareOfCalls() throws Exception {
    behaviour = (_, _) -> FakeResponse.shed();
    int calls = 400;
    for (int i = 0; i < calls; i++) {
      fixture.call("call-" + i, "GET");
    }
    long seconds = fixture.nowNs.get() / 1_000_000_000L;
    assertThat(sends.get(), lessThanOrEqualTo((int) (calls + 3 + calls / 10 + seconds)));
    assertThat("no call was retried", sends.get() > calls, is(true));
  }

  @Test
  void slowCallIsHedgedOnAnotherBackendAndTheLoserIsCancelled() throws Exception {
    warmUp();
    CountDownLatch cancelled = new CountDownLatch(1);
    List<BackendName> calledBackends = new ArrayList<>();
    behaviour =
        (backend, _) -> {
          synchronized (calledBackends) {
            calledBackends.add(backend.name());
          }
          return calledBackends.size() == 1
              ? hangUntilInterrupted(cancelled)
              : FakeResponse.complete("hedge");
        };
    assertThat(CallFixture.text(fixture.call("a", "GET")), is("hedge"));
    assertThat(cancelled.await(10, TimeUnit.SECONDS), is(true));
    var hedge = fixture.admission.requests.getLast();
    assertThat(hedge.freeSlotOnly(), is(true));
    assertThat(hedge.excluded(), hasItem(calledBackends.getFirst()));
    fixture.close();
    assertThat(releasedCallEnds(), hasItem(CallOutcome.CANCELLED));
  }

  @Test
  void loserThatCompletesWithinItsGraceIsNotCancelled() throws Exception {
    warmUp();
    hedgesScheduledBefore.set(fixture.hedgeTimer.scheduledTasks.get());
    CountDownLatch hedgeResponded = new CountDownLatch(1);
    AtomicInteger attempts = new AtomicInteger();
    behaviour =
        (_, _) -> {
          if (attempts.getAndIncrement() > 0) {
            return FakeResponse.complete("hedge");
          }
          respondOnceHedgeIsDue(HEDGE_DUE_MS);
          hedgeResponded.await();
          return FakeResponse.complete("slow");
        };
    assertThat(CallFixture.text(fixture.call("a", "GET")), is("hedge"));
    hedgeResponded.countDown();
    fixture.threads.close();
    assertThat(releasedCallEnds(), not(hasItem(CallOutcome.CANCELLED)));
    assertThat(releasedCallEnds().size(), is(WARM_UP_CALLS + 2));
  }

  @Test
  void hedgesStayWithinTheirShareOfCalls() throws Exception {
    warmUp();
    hedgesScheduledBefore.set(fixture.hedgeTimer.scheduledTasks.get());
    behaviour = (_, _) -> respondOnceHedgeIsDue(2 * HEDGE_DUE_MS);
    for (int i = 0; i < 200; i++) {
      CallFixture.text(fixture.call("slow-" + i, "GET"));
      hedgesScheduledBefore.set(fixture.hedgeTimer.scheduledTasks.get());
    }
    // Counts decisions, not sends: the thread of a hedge may be cancelled before it starts.
    long hedges = fixture.decisions.stream().filter(CallDecision.Hedged.class::isInstance).count();
    assertThat(hedges, lessThanOrEqualTo((200L + WARM_UP_CALLS) / 20));
    assertThat("no call was hedged", hedges > 0, is(true));
  }

  @Test
  void nonIdempotentCallIsNeverHedged() throws Exception {
    warmUp();
    behaviour =
        (_, _) -> {
          fixture.timer.advanceTimeBy(10, TimeUnit.MILLISECONDS);
          return FakeResponse.complete("slow");
        };
    assertThat(CallFixture.text(fixture.call("a", "POST")), is("slow"));
    assertThat(sends.get(), is(WARM_UP_CALLS + 1));
  }

  @Test
  void bufferedResponseThatFailsIsRetried() throws Exception {
    warmUp();
    AtomicInteger count = new AtomicInteger();
    behaviour =
        (_, _) ->
            count.getAndIncrement() == 0
                ? FakeResponse.failingAfter("hal", 5)
                : FakeResponse.complete("whole");
    assertThat(CallFixture.text(fixture.call("a", "GET")), is("whole"));
  }

  @Test
  void truncatedResponseBodyFailsOnRead() throws Exception {
    behaviour = (_, _) -> FakeResponse.withAnnouncedLength("hal", 5);
    CallResult result = fixture.call("a", "POST");
    IOException e = assertThrows(IOException.class, () -> CallFixture.text(result));
    assertThat(e.getMessage(), startsWith("response of backend server \"ledger-0\" ended after 3"));
    assertThat(releasedCallEnds(), is(List.of(CallOutcome.FAILED)));
  }

  @Test
  void responseBodyLongerThanAnnouncedIsAViolation() throws Exception {
    behaviour = (_, _) -> FakeResponse.withAnnouncedLength("hello", 3);
    CallResult result = fixture.call("a", "POST");
    AssertionError e = assertThrows(AssertionError.class, () -> CallFixture.text(result));
    assertThat(e.getMessage(), startsWith("violated: Violation[invariant=WHOLE_ANSWER"));
  }

  @Test
  void closingAResponseEarlyCancelsTheCall() throws Exception {
    FakeResponse response = FakeResponse.complete("long");
    behaviour = (_, _) -> response;
    ((CallResult.Answered) fixture.call("a", "POST")).response().close();
    assertThat(response.isClosed(), is(true));
    assertThat(releasedCallEnds(), is(List.of(CallOutcome.CANCELLED)));
  }

  @Test
  void callIsCancelledWhenTheCallerDisconnects() throws Exception {
    for (String method : List.of("GET", "POST")) {
      CountDownLatch sent = new CountDownLatch(1);
      CountDownLatch cancelled = new CountDownLatch(1);
      behaviour =
          (_, _) -> {
            sent.countDown();
            return hangUntilInterrupted(cancelled);
          };
      Thread caller = Thread.ofVirtual().start(() -> callUntilInterrupted(method));
      sent.await();
      caller.interrupt();
      caller.join();
      assertThat(cancelled.await(10, TimeUnit.SECONDS), is(true));
    }
    fixture.close();
    assertThat(releasedCallEnds(), is(List.of(CallOutcome.CANCELLED, CallOutcome.CANCELLED)));
  }

  @Test
  void backendInAZoneThatIsOutIsNotUsed() throws Exception {
    fixture.configuration = fixture.configuration(Labels.empty().with("state", "out"));
    NotRun result = (NotRun) fixture.call("a", "GET");
    assertThat(result.reason(), is(NotRunReason.NO_BACKEND));
    assertThat(sends.get(), is(0));
  }

  /** Reported by operators: calls taken late in a planned stop were cut at its end. */
  @Test
  void callThatMayNotEndBeforeAPlannedStopIsRefusedAsNotRun() throws Exception {
    long nowNs = fixture.nowNs.get();
    fixture.plannedStop = Optional.of(new PlannedStop(nowNs, nowNs + 1));
    assertThat(((NotRun) fixture.call("a", "POST")).reason(), is(NotRunReason.GATEWAY_STOPPING));
    assertThat(sends.get(), is(0));
  }

  /** Reported by operators: calls taken late in a planned stop were cut at its end. */
  @Test
  void backendHasUntilTheEndOfAPlannedStopForACallTakenMeanwhile() throws Exception {
    long nowNs = fixture.nowNs.get();
    long stopEndNs = nowNs + 100 * CallFixture.NS_PER_MS;
    fixture.plannedStop = Optional.of(new PlannedStop(stopEndNs, stopEndNs));
    AtomicLong deadlineNs = new AtomicLong();
    behaviour =
        (_, call) -> {
          deadlineNs.set(call.deadlineNs());
          return FakeResponse.complete("ok");
        };
    assertThat(CallFixture.text(fixture.call("a", "POST")), is("ok"));
    assertThat(deadlineNs.get(), is(stopEndNs));
  }

  @Test
  void callIsRefusedWhileStoppingAndWithoutConfiguration() throws Exception {
    fixture.refusal = Optional.of(NotRunReason.GATEWAY_STOPPING);
    assertThat(((NotRun) fixture.call("a", "GET")).reason(), is(NotRunReason.GATEWAY_STOPPING));
    fixture.refusal = Optional.empty();
    fixture.configuration = ConfigSnapshot.empty();
    assertThat(((NotRun) fixture.call("a", "GET")).reason(), is(NotRunReason.NO_CONFIGURATION));
    assertThat(fixture.summaries.size(), is(2));
  }

  @Test
  void idempotencyKeyRunsOnceAndIsReleasedIfTheCallDidNotRun() throws Exception {
    fixture.admission.shouldRefuse = _ -> true;
    assertThat(((NotRun) pay()).reason(), is(NotRunReason.NO_FREE_SLOT));
    awaitEmptyStore();
    fixture.admission.shouldRefuse = _ -> false;
    assertThat(CallFixture.text(pay()), is("ok"));
    assertThat(((NotRun) pay()).reason(), is(NotRunReason.DUPLICATE_KEY));
    assertThat(sends.get(), is(1));
  }

  private CallResult pay() throws InterruptedException {
    return fixture.service.handle(
        fixture.request("p", "POST", "/pay/candle", new BackendRequestBody.None()));
  }

  private void awaitEmptyStore() throws InterruptedException {
    long deadlineNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
    while (fixture.store.size() > 0 && System.nanoTime() < deadlineNs) {
      Thread.sleep(1);
    }
    assertThat(fixture.store.size(), is(0));
  }

  private void warmUp() throws Exception {
    BackendTransport previousBehaviour = behaviour;
    behaviour = (_, _) -> FakeResponse.complete("warm");
    for (int i = 0; i < WARM_UP_CALLS; i++) {
      CallFixture.text(fixture.call("warm-" + i, "GET"));
    }
    behaviour = previousBehaviour;
  }

  private void callUntilInterrupted(String method) {
    try {
      fixture.call("gone", method);
      throw new AssertionError("call of a disconnected caller returned");
    } catch (InterruptedException expected) {
      Thread.currentThread().interrupt();
    }
  }

  private BackendResponse hangUntilInterrupted(CountDownLatch cancelled)
      throws InterruptedException {
    try {
      while (true) {
        fixture.timer.advanceTimeBy(10, TimeUnit.MILLISECONDS);
        Thread.sleep(1);
      }
    } finally {
      cancelled.countDown();
    }
  }

  private BackendResponse respondOnceHedgeIsDue(long advanceMs) throws InterruptedException {
    while (fixture.hedgeTimer.scheduledTasks.get() <= hedgesScheduledBefore.get()) {
      Thread.sleep(1);
    }
    fixture.timer.advanceTimeBy(advanceMs, TimeUnit.MILLISECONDS);
    return FakeResponse.complete("slow");
  }

  private List<CallOutcome> releasedCallEnds() {
    return fixture.admission.released.stream().map(released -> released.report().end()).toList();
  }

  private static BackendTransport failFirstSend(Function<BackendName, BackendException> failure) {
    AtomicInteger count = new AtomicInteger();
    return (backend, _) -> {
      if (count.getAndIncrement() == 0) {
        throw failure.apply(backend.name());
      }
      return FakeResponse.complete("ok");
    };
  }

  private static void readOneByte(BackendRequest call) {
    try {
      ((BackendRequestBody.Streamed) call.body()).stream().read();
    } catch (IOException e) {
      throw new AssertionError(e);
    }
  }
}
