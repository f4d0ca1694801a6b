package org.cowslipstair.edge;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.cowslipstair.model.rollout.RolloutStatus;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A fleet of gateways moves a service to another version. */
@Timeout(60)
final class RolloutFleetTest {
  private static final int GATEWAYS = 4;
  private static final int BACKENDS = 8;
  private static final long DURATION_MS = 6_000;
  private static final long CALL_INTERVAL_MS = 15;
  private static final long MARGIN_MS = 1_000;

  private final FakeRolloutStore store = new FakeRolloutStore(DURATION_MS);
  private final AtomicInteger callNumber = new AtomicInteger();
  private GatewayFixture fixture;

  @AfterEach
  void close() throws IOException {
    fixture.close();
  }

  private void startFleet() throws IOException, InterruptedException {
    fixture = GatewayFixture.fleet(GATEWAYS, BACKENDS, store);
  }

  private List<ScriptedBackend> backends(boolean ofTarget) {
    return fixture.backends.stream()
        .filter(b -> store.version(b.id).equals(FakeRolloutStore.TARGET) == ofTarget)
        .toList();
  }

  private long arrivals(boolean ofTarget) {
    return backends(ofTarget).stream().mapToLong(b -> b.receivedRequests.size()).sum();
  }

  /** Every other answer of the new version is a failure. */
  private void makeTargetBad() {
    for (ScriptedBackend backend : backends(true)) {
      AtomicInteger answers = new AtomicInteger();
      backend.script(
          (request, socket) ->
              ScriptedBackend.write(
                  socket,
                  ScriptedBackend.response(
                      request.requestId(), answers.getAndIncrement() % 2 == 0 ? 500 : 200, "x")));
    }
  }

  /** Calls some gateways all the time. */
  private void call(List<FrontGateway> gateways, long durationMs)
      throws InterruptedException, ExecutionException {
    long endNs = System.nanoTime() + durationMs * 1_000_000;
    try (ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor()) {
      List<Future<?>> running = new ArrayList<>();
      for (FrontGateway gateway : gateways) {
        running.add(callers.submit(() -> callUntil(gateway, endNs)));
      }
      for (Future<?> future : running) {
        future.get();
      }
    }
  }

  private Void callUntil(FrontGateway gateway, long endNs)
      throws IOException, InterruptedException {
    try (RawClient client = new RawClient(gateway.callerPort())) {
      while (System.nanoTime() - endNs < 0) {
        client.send(RawClient.get("/safe/x", "r-" + callNumber.incrementAndGet()));
        TimeUnit.MILLISECONDS.sleep(CALL_INTERVAL_MS);
      }
    }
    return null;
  }

  @Test
  void goodVersionIsDoneAndGetsEverything()
      throws IOException, InterruptedException, ExecutionException {
    startFleet();
    call(fixture.gateways, DURATION_MS);
    assertThat(store.recorded, contains(RolloutStatus.State.RUNNING, RolloutStatus.State.DONE));
    long toOthers = arrivals(false);
    call(fixture.gateways, MARGIN_MS);
    assertThat(arrivals(false), is(toOthers));
    assertThat(fixture.violations, is(empty()));
  }

  @Test
  void badVersionIsRolledBackWithinItsShare()
      throws IOException, InterruptedException, ExecutionException {
    startFleet();
    makeTargetBad();
    call(fixture.gateways, DURATION_MS / 2);
    assertThat(
        store.recorded, contains(RolloutStatus.State.RUNNING, RolloutStatus.State.ROLLED_BACK));
    long toTarget = arrivals(true);
    assertThat(toTarget, greaterThan(0L));
    call(fixture.gateways, MARGIN_MS);
    assertThat(arrivals(true), is(toTarget));
    double allowed =
        store.policy().canaryShare() * (arrivals(true) + arrivals(false))
            + store.policy().canarySlackRequests();
    assertThat((double) toTarget, lessThanOrEqualTo(allowed));
    assertThat(fixture.violations, is(empty()));
  }

  @Test
  void anotherGatewayGoesOnWhenTheDeciderFreezes()
      throws IOException, InterruptedException, ExecutionException {
    startFleet();
    call(fixture.gateways, DURATION_MS / 3);
    String decider = decider(0);
    List<FrontGateway> others = new ArrayList<>();
    for (int i = 0; i < GATEWAYS; i++) {
      boolean isDecider = (i == 0 ? "g" : "g-" + i).equals(decider);
      if (isDecider) {
        fixture.freeze(i, 2 * DURATION_MS);
      } else {
        others.add(fixture.gateways.get(i));
      }
    }
    assertThat(others.size(), is(GATEWAYS - 1));
    call(others, DURATION_MS * 2 / 3);
    assertThat(store.state(), equalTo(Optional.of(RolloutStatus.State.DONE)));
  }

  private String decider(int gateway) throws IOException {
    JsonNode rollouts = fixture.state(gateway).path("rollouts");
    assertThat(rollouts.size(), is(1));
    return rollouts.get(0).path("decider").asText();
  }

  /** Another gateway, which knows other counts, has recorded an end first. */
  @Test
  void endThatAnotherGatewayRecordedFirstIsInForce()
      throws IOException, InterruptedException, ExecutionException {
    startFleet();
    store.setRivalEnd(RolloutStatus.State.ROLLED_BACK);
    call(fixture.gateways, DURATION_MS);
    assertThat(store.recorded, contains(RolloutStatus.State.RUNNING));
    assertThat(store.state(), equalTo(Optional.of(RolloutStatus.State.ROLLED_BACK)));
    long toTarget = arrivals(true);
    call(fixture.gateways, MARGIN_MS);
    assertThat(arrivals(true), is(toTarget));
  }

  @Test
  void withoutTrafficNothingGoesToTheNewVersion() throws IOException, InterruptedException {
    startFleet();
    TimeUnit.MILLISECONDS.sleep(DURATION_MS + MARGIN_MS);
    assertThat(store.state(), equalTo(Optional.of(RolloutStatus.State.ROLLED_BACK)));
    assertThat(arrivals(true), lessThan(1L));
  }
}
