package org.cowslipstair.edge.exchange;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;

import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.cowslipstair.logic.budget.RetryBudget;
import org.cowslipstair.logic.invariant.InvariantMonitor;
import org.cowslipstair.logic.overload.Urgency;
import org.cowslipstair.model.config.ServiceName;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

final class WaitingRoomTest {
  private static final ServiceName SERVICE = new ServiceName("records");
  private static final long MS = 1_000_000L;

  private final EventLoop loop = new DefaultEventLoop();
  private final FakeObserver observer = new FakeObserver();
  private final WaitingRoom room =
      new WaitingRoom(loop, System::nanoTime, observer, InvariantMonitor.failing());
  private final List<String> resumed = new ArrayList<>();

  @AfterEach
  void stopLoop() {
    loop.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
  }

  private static final class FakeObserver implements ExchangeObserver {
    private Supplier<Integer> size = () -> 0;

    @Override
    public void onExchangeFinished(Summary summary) {}

    @Override
    public void onRequestSent(Sent sent) {}

    @Override
    public void onRetryBudgetCreated(ServiceName service, RetryBudget budget) {}

    @Override
    public void onWaitingRoomCreated(Supplier<Integer> newSize) {
      size = newSize;
    }

    @Override
    public void onWaited(ServiceName service, long waitedNs) {}

    @Override
    public void onAttemptEnded(AttemptEnd end) {}
  }

  private Optional<WaitingRoom.Visit> enter(int priority, long slackMs, String name) {
    Urgency urgency = new Urgency(priority, System.nanoTime() + slackMs * MS, 1e6);
    return room.enter(SERVICE, urgency, OptionalLong.of(0), () -> resumed.add(name));
  }

  private void runOnLoop(Runnable action) throws Exception {
    loop.submit(action).get(5, TimeUnit.SECONDS);
  }

  private void awaitEmpty() throws Exception {
    for (int i = 0; i < 500 && observer.size.get() > 0; i++) {
      Thread.sleep(10);
    }
    runOnLoop(() -> {});
  }

  /** The read is due first, but the upload that came later is more urgent. */
  @Test
  void mostUrgentRequestLooksForRoomFirst() throws Exception {
    runOnLoop(
        () -> {
          enter(2, 200, "read");
          enter(1, 800, "upload");
        });
    awaitEmpty();
    assertThat(resumed, contains("upload", "read"));
  }

  @Test
  void requestThatHasLeftDoesNotKeepOthersFromBeingResumed() throws Exception {
    runOnLoop(
        () -> {
          enter(2, 400, "read");
          enter(1, 800, "upload").orElseThrow().leave();
        });
    awaitEmpty();
    assertThat(resumed, contains("read"));
  }

  @Test
  void numberOfWaitingRequestsIsBounded() throws Exception {
    runOnLoop(
        () -> {
          for (int i = 0; i < 64; i++) {
            assertThat(enter(2, 400, "read").isPresent(), is(true));
          }
          assertThat(enter(0, 400, "one too many").isEmpty(), is(true));
          assertThat(room.sizes().get(SERVICE), is(64));
        });
    awaitEmpty();
    assertThat(resumed.size(), is(64));
  }
}
