package org.cowslipstair.edge;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.not;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Callers that send further requests before the first one has its response. */
final class PipeliningTest {
  private static final long WAIT_SECONDS = 20;
  private static final int NOT_EXECUTED_CHECK_MS = 200;
  private static final long SLOW_CALLER_PAUSE_MS = 3_500;
  private static final int MAX_BODY_BYTES = 1 << 20;
  private final GatewayFixture fixture;
  private final RawClient client;
  private final Map<String, CountDownLatch> arrivals = new ConcurrentHashMap<>();
  private final Map<String, CountDownLatch> releases = new ConcurrentHashMap<>();

  PipeliningTest() throws IOException, InterruptedException {
    fixture = new GatewayFixture(4);
    client = fixture.client();
    fixture.backends.forEach(
        backend ->
            backend.script(
                (request, socket) -> {
                  latch(arrivals, request.requestId()).countDown();
                  CountDownLatch release = releases.get(request.requestId());
                  if (release != null) {
                    release.await();
                  }
                  ScriptedBackend.Script.ok(request.requestId()).run(request, socket);
                }));
  }

  @AfterEach
  void close() throws IOException {
    releases.values().forEach(CountDownLatch::countDown);
    client.close();
    fixture.close();
    assertThat(fixture.violations, empty());
  }

  private static CountDownLatch latch(Map<String, CountDownLatch> latches, String id) {
    return latches.computeIfAbsent(id, _ -> new CountDownLatch(1));
  }

  /** Makes the backend servers hold the response to a request until it is released. */
  private void hold(String id) {
    latch(releases, id);
  }

  private void release(String id) {
    latch(releases, id).countDown();
  }

  private void awaitArrival(String id) throws InterruptedException {
    assertThat(id, latch(arrivals, id).await(WAIT_SECONDS, TimeUnit.SECONDS), is(true));
  }

  private List<String> arrivedIds() {
    return fixture.backends.stream()
        .flatMap(backend -> backend.receivedRequests.stream())
        .map(ScriptedBackend.ReceivedRequest::requestId)
        .toList();
  }

  private static String safe(String id) {
    return RawClient.get("/safe/x", id);
  }

  private static String unsafe(String id) {
    return RawClient.post("/unsafe/x", id, "pay");
  }

  @Test
  void safeRequestsRunSideBySideAndAreAnsweredInOrder() throws IOException, InterruptedException {
    hold("one");
    client.write(safe("one") + safe("two") + safe("three"));
    awaitArrival("one");
    awaitArrival("two");
    awaitArrival("three");
    release("one");
    List<String> bodies = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      bodies.add(client.readResponse().body());
    }
    assertThat(bodies, contains("one", "two", "three"));
  }

  @Test
  void manyRequestsAreAllAnsweredInOrder() throws IOException {
    int count = 300;
    StringBuilder requests = new StringBuilder();
    for (int i = 0; i < count; i++) {
      requests.append(i % 10 == 9 ? unsafe("id-" + i) : safe("id-" + i));
    }
    client.write(requests.toString());
    for (int i = 0; i < count; i++) {
      assertThat(client.readResponse().body(), is("id-" + i));
    }
  }

  @Test
  void unsafeRequestWaitsForEarlierOnesAndHoldsBackLaterOnes()
      throws IOException, InterruptedException {
    hold("one");
    hold("two");
    client.write(safe("one") + unsafe("two") + safe("three"));
    awaitArrival("one");
    TimeUnit.MILLISECONDS.sleep(NOT_EXECUTED_CHECK_MS);
    assertThat(arrivedIds(), contains("one"));
    release("one");
    awaitArrival("two");
    TimeUnit.MILLISECONDS.sleep(NOT_EXECUTED_CHECK_MS);
    assertThat(arrivedIds(), containsInAnyOrder("one", "two"));
    release("two");
    assertThat(client.readResponse().body(), is("one"));
    assertThat(client.readResponse().body(), is("two"));
    assertThat(client.readResponse().body(), is("three"));
  }

  @Test
  void queuedTimeCountsAgainstTheDeadlineOfTheCaller() throws IOException, InterruptedException {
    hold("one");
    client.write(unsafe("one") + unsafe("two"));
    awaitArrival("one");
    TimeUnit.MILLISECONDS.sleep(NOT_EXECUTED_CHECK_MS);
    release("one");
    awaitArrival("two");
    long deadlineMs =
        fixture.backends.stream()
            .flatMap(backend -> backend.receivedRequests.stream())
            .filter(request -> request.requestId().equals("two"))
            .mapToLong(request -> Long.parseLong(request.header("X-Deadline-Ms")))
            .findFirst()
            .orElseThrow();
    assertThat(deadlineMs, lessThan(20_000L - NOT_EXECUTED_CHECK_MS));
  }

  @Test
  void requestsBehindAResponseThatClosesTheConnectionAreNotForwarded()
      throws IOException, InterruptedException {
    hold("one");
    String closing = safe("one").replace("X-Id", "Connection: close\r\nX-Id");
    client.write(closing + unsafe("two") + safe("three"));
    awaitArrival("one");
    release("one");
    RawClient.Response response = client.readResponse();
    assertThat(response.body(), is("one"));
    assertThat(response.header("Connection"), is("close"));
    assertThat(client.isAtEnd(), is(true));
    assertThat(arrivedIds(), contains("one"));
  }

  @Test
  void requestsQueuedWhenAPlannedStopBeginsAreNotForwarded()
      throws IOException, InterruptedException {
    hold("one");
    hold("two");
    client.write(safe("one") + safe("two") + unsafe("three") + safe("four"));
    awaitArrival("one");
    awaitArrival("two");
    Thread stopping = Thread.ofPlatform().start(this::stopGateway);
    while (fixture.gateway.isReady()) {
      Thread.onSpinWait();
    }
    release("two");
    release("one");
    RawClient.Response first = client.readResponse();
    RawClient.Response second = client.readResponse();
    assertThat(first.body() + second.body(), is("onetwo"));
    assertThat(first.header("Connection"), is(not("close")));
    assertThat(second.header("Connection"), is("close"));
    assertThat(client.isAtEnd(), is(true));
    stopping.join();
    assertThat(arrivedIds(), containsInAnyOrder("one", "two"));
  }

  private void stopGateway() {
    try {
      fixture.gateway.stop();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Test
  void queuedRequestsOfACallerThatDisconnectsAreNotForwarded()
      throws IOException, InterruptedException {
    CountDownLatch cancelled = new CountDownLatch(1);
    fixture.backends.forEach(
        backend ->
            backend.script(
                (request, socket) -> {
                  if (request.requestId().equals("other")) {
                    ScriptedBackend.Script.ok("other").run(request, socket);
                    return;
                  }
                  latch(arrivals, request.requestId()).countDown();
                  assertThat(socket.getInputStream().read(), is(-1));
                  cancelled.countDown();
                }));
    try (RawClient leaving = fixture.client()) {
      leaving.write(unsafe("one") + unsafe("two"));
      awaitArrival("one");
    }
    assertThat(cancelled.await(WAIT_SECONDS, TimeUnit.SECONDS), is(true));
    assertThat(client.send(safe("other")).body(), is("other"));
    assertThat(arrivedIds(), containsInAnyOrder("one", "other"));
  }

  @Test
  void malformedRequestIsRejectedAfterTheEarlierResponses()
      throws IOException, InterruptedException {
    hold("one");
    client.write(safe("one") + "GET /safe/x HTTP/1.1\r\nX-Id: two\r\n\r\n" + safe("three"));
    awaitArrival("one");
    release("one");
    assertThat(client.readResponse().body(), is("one"));
    RawClient.Response rejection = client.readResponse();
    assertThat(rejection.status(), is(400));
    assertThat(rejection.header("Connection"), is("close"));
    assertThat(client.isAtEnd(), is(true));
    assertThat(arrivedIds(), contains("one"));
  }

  @Test
  void bodyOverTheLimitIsRejectedAfterTheEarlierResponses()
      throws IOException, InterruptedException {
    hold("one");
    client.write(safe("one"));
    awaitArrival("one");
    client.write(RawClient.post("/unsafe/x", "two", "x".repeat(MAX_BODY_BYTES + 1)));
    release("one");
    assertThat(client.readResponse().body(), is("one"));
    assertThat(client.readResponse().status(), is(413));
    assertThat(arrivedIds(), contains("one"));
  }

  @Test
  void longResponseIsHeldUntilItsTurn() throws IOException, InterruptedException {
    String longBody = "x".repeat(400 * 1024);
    hold("one");
    fixture.backends.forEach(
        backend ->
            backend.script(
                (request, socket) -> {
                  latch(arrivals, request.requestId()).countDown();
                  if (request.requestId().equals("one")) {
                    latch(releases, "one").await();
                  }
                  String body = request.requestId().equals("two") ? longBody : "short";
                  ScriptedBackend.Script.ok(body).run(request, socket);
                }));
    client.write(safe("one") + safe("two") + safe("three"));
    awaitArrival("two");
    awaitArrival("three");
    release("one");
    assertThat(client.readResponse().body(), is("short"));
    assertThat(client.readResponse().body().equals(longBody), is(true));
    assertThat(client.readResponse().body(), is("short"));
    assertThat(client.send(safe("four")).body(), is("short"));
  }

  /** The last response of a connection is read more slowly than what follows is discarded. */
  @Test
  void slowCallerGetsTheWholeLastResponse() throws IOException, InterruptedException {
    String longBody = "x".repeat(16 << 20);
    fixture.backends.forEach(backend -> backend.script(ScriptedBackend.Script.ok(longBody)));
    client.write(safe("one").replace("X-Id", "Connection: close\r\nX-Id"));
    TimeUnit.MILLISECONDS.sleep(SLOW_CALLER_PAUSE_MS);
    RawClient.Response response = client.readResponse();
    assertThat(response.complete(), is(true));
    assertThat(response.body().equals(longBody), is(true));
  }

  @Test
  void slowCallerGetsTheWholeLastBufferedResponse() throws IOException, InterruptedException {
    String body = "x".repeat(200 * 1024);
    fixture.backends.forEach(backend -> backend.script(ScriptedBackend.Script.ok(body)));
    int count = 100;
    String last = safe("last").replace("X-Id", "Connection: close\r\nX-Id");
    client.write(safe("id").repeat(count) + last);
    TimeUnit.MILLISECONDS.sleep(SLOW_CALLER_PAUSE_MS);
    for (int i = 0; i <= count; i++) {
      assertThat(client.readResponse().complete(), is(true));
    }
  }
}
