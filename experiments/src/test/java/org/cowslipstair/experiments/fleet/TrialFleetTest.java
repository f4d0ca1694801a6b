package org.cowslipstair.experiments.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
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
import org.cowslipstair.gateway.GatewayProcess;
import org.cowslipstair.logic.invariant.Invariant;
import org.cowslipstair.model.config.BackendServer;
import org.cowslipstair.model.config.HostPort;
import org.cowslipstair.model.config.ZoneName;
import org.cowslipstair.model.fleet.GatewayName;
import org.cowslipstair.runtime.GatewayState;
import org.cowslipstair.standins.backend.BackendServerStandin;
import org.cowslipstair.standins.backend.ServiceTime;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class TrialFleetTest {
  private static final long SERVICE_TIME_US = 5_000;
  private static final long CALL_TIMEOUT_MS = 30_000;
  private static final ServiceLoad WATCH =
      new ServiceLoad("watch", "watch.kilele.example", "/", 1, 0, 3_000);

  private final ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor();
  private TrialFleet fleet;
  private long numbers;

  @BeforeEach
  void start() throws Exception {
    fleet =
        TrialFleet.start(Deployment.example("kilele"), 3, ServiceTime.fixed(SERVICE_TIME_US), 1);
  }

  @AfterEach
  void stop() {
    fleet.gateways().values().forEach(TrialFleetTest::assertNothingViolated);
    fleet.close();
    threads.close();
  }

  private static void assertNothingViolated(GatewayProcess gateway) {
    for (Invariant invariant : Invariant.values()) {
      assertThat(
          invariant.toString(),
          gateway.runtime().invariantMonitor().violationCount(invariant),
          is(0L));
    }
  }

  private List<Future<CallerView>> send(HttpCallSender sender, int calls, boolean idempotent) {
    List<Future<CallerView>> views = new ArrayList<>();
    for (int i = 0; i < calls; i++) {
      long number = numbers++;
      views.add(threads.submit(() -> sender.send(WATCH, number, idempotent)));
    }
    return views;
  }

  private static void assertAllAnswered(List<Future<CallerView>> views) throws Exception {
    List<CallerView> others = new ArrayList<>();
    for (Future<CallerView> view : views) {
      if (!(view.get() instanceof CallerView.Answered)) {
        others.add(view.get());
      }
    }
    assertThat(others, empty());
  }

  private HttpCallSender sender(List<HostPort> gateways) {
    return new HttpCallSender(gateways, "test", CALL_TIMEOUT_MS);
  }

  @Test
  void everyCallerGetsItsOwnWholeAnswerAndNoSlotIsExceeded() throws Exception {
    try (HttpCallSender sender = sender(fleet.readyAddresses())) {
      assertAllAnswered(send(sender, 150, true));
      assertAllAnswered(send(sender, 150, false));
    }
    for (BackendServer backend : fleet.deployment().backends()) {
      BackendServerStandin standin = fleet.backends().get(backend.name());
      assertThat(backend.name().value(), standin.counts().overSlots(), is(0L));
    }
    assertThat(fleet.runs().nonIdempotentRepeats(), empty());
  }

  @Test
  void zoneThatIsOutGetsNoCallOnceTheChangeIsInForce() throws Exception {
    ZoneName zone = fleet.deployment().zones().getLast();
    try (HttpCallSender sender = sender(fleet.readyAddresses())) {
      assertAllAnswered(send(sender, 60, true));
      fleet.setZoneOut(zone, true);
      fleet.awaitRevision();
      fleet.markZone(zone, 0);
      assertAllAnswered(send(sender, 120, true));
    }
    for (BackendServer backend : fleet.deployment().backends()) {
      BackendServerStandin standin = fleet.backends().get(backend.name());
      assertThat(backend.name().value(), standin.counts().afterMark(), is(0L));
    }
  }

  private static void awaitArrived(
      GatewayProcess gateway, long calls, List<Future<CallerView>> views)
      throws InterruptedException {
    long arrived = 0;
    while (arrived < calls && !views.stream().allMatch(Future::isDone)) {
      TimeUnit.MILLISECONDS.sleep(1);
      GatewayState state = gateway.state();
      arrived = state.calls().answered() + state.callsInProgress();
    }
  }

  @Test
  void plannedStopCutsOffNoCall() throws Exception {
    GatewayName name = new GatewayName("gw-0");
    HostPort address = fleet.gateways().get(name).callerAddress();
    try (HttpCallSender sender = sender(List.of(address))) {
      assertAllAnswered(send(sender, 30, true));
      List<Future<CallerView>> views = send(sender, 100, false);
      awaitArrived(fleet.gateways().get(name), 130, views);
      fleet.stopGateway(name);
      assertAllAnswered(views);
    }
    assertThat(fleet.runs().nonIdempotentRepeats(), empty());
  }
}
