package org.cowslipstair.edge;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.cowslipstair.logic.budget.GatewayRanking;
import org.junit.jupiter.api.AfterEach;
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
  void backendServersGetNoMoreThanTheLimitThatTheyAdvertise()
      throws IOException, InterruptedException, ExecutionException {
    fixture = GatewayFixture.fleet(GATEWAYS, 2);
    for (ScriptedBackend backend : fixture.backends) {
      backend.script(ScriptedBackend.Script.limited(LIMIT_PER_SECOND));
    }
    long startNs = System.nanoTime();
    callAllGateways();
    for (ScriptedBackend backend : fixture.backends) {
      assertWithinLimit(backend, startNs);
      double usedPerSecond = arrivalsNs(backend, startNs).size() / (DURATION_S - 3.0);
      assertThat(usedPerSecond, greaterThanOrEqualTo(0.6 * LIMIT_PER_SECOND));
    }
    assertThat(fixture.violations, is(empty()));
  }

  /** What exceeds the limit of one backend server goes to another one in time. */
  @Test
  void requestsBeyondTheLimitGoToOtherBackendServers()
      throws IOException, InterruptedException, ExecutionException {
    fixture = GatewayFixture.fleet(GATEWAYS, 3);
    fixture.backend().script(ScriptedBackend.Script.limited(LIMIT_PER_SECOND));
    long startNs = System.nanoTime();
    int refusedCount = callAllGateways();
    assertThat(refusedCount, is(0));
    assertWithinLimit(fixture.backend(), startNs);
    assertThat(fixture.violations, is(empty()));
  }

  /** Each gateway would exceed the limit once if it had to learn of it by a request of its own. */
  @Test
  void responseToOneGatewayMakesTheLimitKnownToAll() throws IOException, InterruptedException {
    fixture = GatewayFixture.fleet(GATEWAYS, 1);
    fixture.backend().script(ScriptedBackend.Script.limited(LIMIT_PER_SECOND));
    try (RawClient client = fixture.client()) {
      assertThat(client.send(RawClient.get("/safe/x", "first")).status(), is(200));
    }
    TimeUnit.MILLISECONDS.sleep(500);
    for (int i = 0; i < GATEWAYS; i++) {
      assertThat(knownLimit(i), is(LIMIT_PER_SECOND));
    }
  }

  /** A gateway that cannot be reached when the limit becomes known is told later. */
  @Test
  void gatewayThatStartsAfterTheFirstResponseLearnsTheLimitFromTheOthers()
      throws IOException, InterruptedException {
    fixture = GatewayFixture.fleet(GATEWAYS - 1, 1, 1);
    fixture.backend().script(ScriptedBackend.Script.limited(LIMIT_PER_SECOND));
    try (RawClient client = fixture.client()) {
      assertThat(client.send(RawClient.get("/safe/x", "first")).status(), is(200));
    }
    TimeUnit.MILLISECONDS.sleep(300);
    fixture.startAbsent();
    long endNs = System.nanoTime() + NOTICE_NS;
    while (knownLimit(GATEWAYS - 1) == 0 && System.nanoTime() < endNs) {
      TimeUnit.MILLISECONDS.sleep(50);
    }
    assertThat(knownLimit(GATEWAYS - 1), is(LIMIT_PER_SECOND));
  }

  private double knownLimit(int gateway) throws IOException {
    JsonNode backend = fixture.state(gateway).path("backends").path(0);
    return backend.path("rateLimitPerSecond").asDouble();
  }

  /** A gateway that gets no permits learns from the issuer that the limit has ended. */
  @Test
  void withdrawnLimitEndsOnAllGateways()
      throws IOException, InterruptedException, ExecutionException {
    fixture = GatewayFixture.fleet(GATEWAYS, 1);
    fixture.backend().script(ScriptedBackend.Script.limited(LIMIT_PER_SECOND));
    assertThat(callAllGateways(), is(greaterThan(0)));
    fixture.backend().script(ScriptedBackend.Script.ok("hello"));
    TimeUnit.MILLISECONDS.sleep(600);
    int refusedCount = callAllGateways();
    assertThat(refusedCount, lessThan(GATEWAYS * 10));
    assertThat(fixture.violations, is(empty()));
  }

  /** Another gateway issues the permits while the issuer does not respond, and no longer after. */
  @Test
  void frozenIssuerIsReplacedUntilItRespondsAgain()
      throws IOException, InterruptedException, ExecutionException {
    fixture = GatewayFixture.fleet(GATEWAYS, 1);
    fixture.backend().script(ScriptedBackend.Script.limited(LIMIT_PER_SECOND));
    List<String> names = List.of("g", "g-1", "g-2", "g-3");
    String issuer = new GatewayRanking().ranked(fixture.backend().id, names).getFirst();
    int other = (names.indexOf(issuer) + 1) % GATEWAYS;
    callAllGateways();
    assertThat(permitIssuer(other), is(issuer));
    long startNs = System.nanoTime();
    fixture.freeze(names.indexOf(issuer), 4_000);
    Set<String> issuers = new HashSet<>();
    try (RawClient client = new RawClient(fixture.gateways.get(other).callerPort())) {
      for (int i = 0; System.nanoTime() < startNs + DURATION_S * NS_PER_SECOND; i++) {
        client.send(RawClient.get("/safe/x", "frozen-" + i));
        issuers.add(permitIssuer(other));
        TimeUnit.MILLISECONDS.sleep(CALL_INTERVAL_MS);
      }
    }
    assertThat(issuers.size(), is(greaterThan(1)));
    assertThat(permitIssuer(other), is(issuer));
    assertWithinLimit(fixture.backend(), startNs - NOTICE_NS);
    assertThat(fixture.violations, is(empty()));
  }

  private String permitIssuer(int gateway) throws IOException {
    return fixture.state(gateway).path("backends").path(0).path("permitIssuer").asText();
  }

  private static void assertWithinLimit(ScriptedBackend backend, long startNs) {
    assertThat(
        (double) maxInWindow(arrivalsNs(backend, startNs)), lessThanOrEqualTo(MAX_IN_WINDOW));
  }

  /** Returns the arrivals after the time in which the limit has to be noticed. */
  private static List<Long> arrivalsNs(ScriptedBackend backend, long startNs) {
    return backend.arrivalsNs.stream().filter(ns -> ns > startNs + NOTICE_NS).toList();
  }

  /**
   * Calls every gateway at a steady rate for the duration of a test.
   *
   * @return number of requests that were refused with a time to return
   */
  private int callAllGateways() throws InterruptedException, ExecutionException {
    List<Future<Integer>> callers = new ArrayList<>();
    try (ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor()) {
      for (int i = 0; i < GATEWAYS; i++) {
        int gateway = i;
        callers.add(executor.submit(() -> call(gateway)));
      }
    }
    int refusedCount = 0;
    for (Future<Integer> caller : callers) {
      refusedCount += caller.get();
    }
    return refusedCount;
  }

  private int call(int gateway) throws IOException, InterruptedException {
    int refusedCount = 0;
    long endNs = System.nanoTime() + DURATION_S * NS_PER_SECOND;
    try (RawClient client = new RawClient(fixture.gateways.get(gateway).callerPort())) {
      for (int i = 0; System.nanoTime() < endNs; i++) {
        RawClient.Response response = client.send(RawClient.get("/safe/x", gateway + "-" + i));
        boolean isRefused = response.status() == 503 && !response.header("Retry-After").isEmpty();
        assertThat(isRefused || response.status() == 200, is(true));
        refusedCount += isRefused ? 1 : 0;
        TimeUnit.MILLISECONDS.sleep(CALL_INTERVAL_MS);
      }
    }
    return refusedCount;
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
