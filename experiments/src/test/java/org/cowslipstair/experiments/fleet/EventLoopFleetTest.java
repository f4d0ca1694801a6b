package org.cowslipstair.experiments.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.cowslipstair.experiments.load.CallerView;
import org.cowslipstair.experiments.load.HttpCallSender;
import org.cowslipstair.experiments.load.ServiceLoad;
import org.cowslipstair.model.config.BackendServer;
import org.cowslipstair.model.config.ZoneName;
import org.cowslipstair.standins.backend.ServiceTime;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Gateways on event loops serve the example of the daemon. */
@Timeout(120)
final class EventLoopFleetTest {
  private static final long CALL_TIMEOUT_MS = 30_000;
  private static final long CHANGE_IN_FORCE_MS = 4_000;
  private static final int MAX_RETURNS = 20;
  private static final long RETURN_DELAY_MS = 100;
  private static final ServiceLoad WATCH =
      new ServiceLoad("watch", "watch.kilele.example", "/", 1, 0, 3_000);

  private final ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor();
  private TrialFleet fleet;
  private EventLoopFleet eventLoop;
  private long numbers;

  @BeforeEach
  void start() throws Exception {
    fleet = TrialFleet.start(Deployment.example("kilele"), 1, ServiceTime.fixed(5_000), 1);
    eventLoop = EventLoopFleet.start(fleet.deployment(), 3, 60, 1);
  }

  @AfterEach
  void stop() {
    assertThat(eventLoop.violations(), is(0L));
    eventLoop.close();
    fleet.close();
    threads.close();
  }

  /** The gateways refuse calls while the code is still cold and they are behind; callers return. */
  private static CallerView sendUntilRun(HttpCallSender sender, long number)
      throws InterruptedException {
    CallerView view = sender.send(WATCH, number, true);
    for (int i = 0; i < MAX_RETURNS && view instanceof CallerView.NotRun; i++) {
      TimeUnit.MILLISECONDS.sleep(RETURN_DELAY_MS);
      view = sender.send(WATCH, number, true);
    }
    return view;
  }

  private void assertAnswered(int calls) throws Exception {
    try (HttpCallSender sender =
        new HttpCallSender(eventLoop.readyAddresses(), "loop" + numbers, CALL_TIMEOUT_MS)) {
      List<Future<CallerView>> views = new ArrayList<>();
      for (int i = 0; i < calls; i++) {
        long number = numbers++;
        views.add(threads.submit(() -> sendUntilRun(sender, number)));
      }
      for (Future<CallerView> view : views) {
        assertThat(view.get(), instanceOf(CallerView.Answered.class));
      }
    }
  }

  @Test
  void zoneThatIsOutGetsNoCall() throws Exception {
    assertAnswered(30);
    ZoneName zone = fleet.deployment().zones().getLast();
    eventLoop.setZoneOut(zone, true);
    TimeUnit.MILLISECONDS.sleep(CHANGE_IN_FORCE_MS);
    fleet.markZone(zone, 0);
    assertAnswered(30);
    for (BackendServer backend : fleet.deployment().backends()) {
      long calls = fleet.backends().get(backend.name()).counts().afterMark();
      assertThat(backend.name().value(), calls, is(0L));
    }
    assertThat(fleet.runs().nonIdempotentRepeats(), empty());
  }

  @Test
  void gatewayIsReplacedWithoutACallerNoticing() throws Exception {
    eventLoop.replaceOne(true);
    assertAnswered(30);
  }
}
