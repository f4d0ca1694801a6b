package org.cowslipstair.edge;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A fleet of gateways in front of backend servers that limit their own request rate. */
@Timeout(60)
final class RateLimitFleetTest {
  private static final int GATEWAYS = 4;
  private static final double LIMIT_PER_SECOND = 2;
  private static final long NS_PER_SECOND = 1_000_000_000L;

  /** Length of a window, and the requests that the users allow in it. */
  private static final long WINDOW_NS = 4 * NS_PER_SECOND;

  private static final double MAX_IN_WINDOW = 1.5 * LIMIT_PER_SECOND * 4 + 5;

  /** Time from the first response with a limit until the limit has to be kept. */
  private static final long NOTICE_NS = 3 * NS_PER_SECOND;

  private static final int DURATION_S = 9;
  private static final long CALL_INTERVAL_MS = 90;

  private GatewayFixture fixture;

  @AfterEach
  void close() throws IOException {
    fixture.close();
  }

  /** Incident 4: a backend server gets more requests than the limit that it advertises. */
  @Test
  @Tag("known-red")
  void backendServersGetNoMoreThanTheLimitThatTheyAdvertise()
      throws IOException, InterruptedException, ExecutionException {
    fixture = GatewayFixture.fleet(GATEWAYS, 2);
    for (ScriptedBackend backend : fixture.backends) {
      backend.script(ScriptedBackend.Script.limited(LIMIT_PER_SECOND));
    }
    long startNs = System.nanoTime();
    callAllGateways();
    for (ScriptedBackend backend : fixture.backends) {
      List<Long> arrivalsNs =
          backend.arrivalsNs.stream().filter(ns -> ns > startNs + NOTICE_NS).toList();
      assertThat((double) maxInWindow(arrivalsNs), lessThanOrEqualTo(MAX_IN_WINDOW));
      double usedPerSecond = arrivalsNs.size() / (DURATION_S - 3.0);
      assertThat(usedPerSecond, greaterThanOrEqualTo(0.6 * LIMIT_PER_SECOND));
    }
    assertThat(fixture.violations, is(empty()));
  }

  /** Calls every gateway at a steady rate for the duration of a test. */
  private void callAllGateways() throws InterruptedException, ExecutionException {
    List<Future<Integer>> callers = new ArrayList<>();
    try (ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor()) {
      for (int i = 0; i < GATEWAYS; i++) {
        int gateway = i;
        callers.add(executor.submit(() -> call(gateway)));
      }
    }
    for (Future<Integer> caller : callers) {
      assertThat(caller.get(), is(0));
    }
  }

  /** Returns the number of responses other than a success or a refusal with a time to return. */
  private int call(int gateway) throws IOException, InterruptedException {
    int unexpectedCount = 0;
    long endNs = System.nanoTime() + DURATION_S * NS_PER_SECOND;
    try (RawClient client = new RawClient(fixture.gateways.get(gateway).callerPort())) {
      for (int i = 0; System.nanoTime() < endNs; i++) {
        RawClient.Response response = client.send(RawClient.get("/safe/x", gateway + "-" + i));
        boolean isExpected =
            response.status() == 200
                || response.status() == 503 && !response.header("Retry-After").isEmpty();
        unexpectedCount += isExpected ? 0 : 1;
        TimeUnit.MILLISECONDS.sleep(CALL_INTERVAL_MS);
      }
    }
    return unexpectedCount;
  }

  private static long maxInWindow(List<Long> arrivalsNs) {
    return arrivalsNs.stream()
        .mapToLong(
            startNs ->
                arrivalsNs.stream().filter(ns -> ns >= startNs && ns < startNs + WINDOW_NS).count())
        .max()
        .orElse(0);
  }
}
