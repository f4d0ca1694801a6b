package org.cowslipstair.standins.backend;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(60)
class BackendServerStandinTest {
  private static final long SHORT_SERVICE_US = 1_000;
  private static final long LONG_SERVICE_US = 10_000_000;

  private final HttpClient client = HttpClient.newHttpClient();
  private final RunRecord runs = new RunRecord();
  private final List<BackendServerStandin> standins = new ArrayList<>();

  private BackendServerStandin start(BackendBehaviour behaviour) {
    BackendServerStandin standin =
        BackendServerStandin.start(
            new BackendServerStandin.Config("watch-1", 0, behaviour, 1, runs));
    standins.add(standin);
    return standin;
  }

  private static BackendBehaviour behaviour(int slots, long serviceUs) {
    return BackendBehaviour.healthy(slots, ServiceTime.fixed(serviceUs));
  }

  @AfterEach
  void stop() {
    standins.forEach(BackendServerStandin::close);
    client.close();
  }

  private static HttpRequest.Builder request(BackendServerStandin standin, String id) {
    return HttpRequest.newBuilder(URI.create("http://" + standin.address() + "/x"))
        .timeout(Duration.ofSeconds(30))
        .header("X-Request-Id", id);
  }

  private HttpResponse<byte[]> send(HttpRequest.Builder request)
      throws IOException, InterruptedException {
    return client.send(request.build(), HttpResponse.BodyHandlers.ofByteArray());
  }

  private CompletableFuture<HttpResponse<byte[]>> sendAsync(HttpRequest.Builder request) {
    return client.sendAsync(request.build(), HttpResponse.BodyHandlers.ofByteArray());
  }

  private static void await(BooleanSupplier condition) {
    while (!condition.getAsBoolean()) {
      Thread.onSpinWait();
    }
  }

  private static boolean isComplete(byte[] body, String id) {
    EchoBody.Verifier verifier = new EchoBody.Verifier(id);
    verifier.update(body, 0, body.length);
    return verifier.isWhole();
  }

  @Test
  void sendsCompleteBodiesOverOneConnection() throws Exception {
    BackendServerStandin standin = start(behaviour(3, SHORT_SERVICE_US));

    for (int bytes : new int[] {0, 200, 16_384, 100_000}) {
      String id = "r" + bytes;
      HttpResponse<byte[]> response =
          send(request(standin, id).header("Standin-Answer-Bytes", Integer.toString(bytes)));
      assertThat(isComplete(response.body(), id), is(true));
      assertThat(isComplete(response.body(), "other"), is(false));
      assertThat((long) response.body().length, is(EchoBody.lengthBytes(id, bytes)));
    }

    assertThat(standin.counts().answered(), is(4L));
    assertThat(standin.counts().mostOpenConnections(), is(1L));
  }

  @Test
  void recordsNonIdempotentCallsThatRanTwiceOnDifferentBackends() throws Exception {
    BackendServerStandin first = start(behaviour(3, SHORT_SERVICE_US));
    BackendServerStandin second = start(behaviour(3, SHORT_SERVICE_US));

    for (BackendServerStandin standin : List.of(first, second)) {
      send(request(standin, "paid").POST(HttpRequest.BodyPublishers.ofString("money")));
      send(request(standin, "seen"));
    }

    assertThat(runs.nonIdempotentRepeats(), contains("paid"));
    assertThat(runs.runs("seen"), is(2));
  }

  @Test
  void callsWithoutFreeSlotWaitAndCallsBeyondQueueLimitAreNotRun() throws Exception {
    BackendServerStandin standin = start(behaviour(1, LONG_SERVICE_US).withMaxQueue(1));
    sendAsync(request(standin, "running"));
    await(() -> standin.counts().runs() == 1);
    sendAsync(request(standin, "waiting"));
    await(() -> standin.counts().mostInFlight() == 2);

    HttpResponse<byte[]> shed = send(request(standin, "shed"));

    assertThat(shed.statusCode(), is(503));
    assertThat(shed.headers().firstValue("Backend-Not-Run").orElse(""), is("1"));
    assertThat(standin.counts().overSlots(), is(1L));
    assertThat(runs.runs("waiting") + runs.runs("shed"), is(0));
  }

  @Test
  void callThatWaitsPastItsDeadlineIsNotRun() throws Exception {
    BackendServerStandin standin = start(behaviour(1, LONG_SERVICE_US));
    sendAsync(request(standin, "running"));
    await(() -> standin.counts().runs() == 1);

    HttpResponse<byte[]> late = send(request(standin, "late").header("Request-Timeout-Ms", "20"));

    assertThat(late.statusCode(), is(503));
    assertThat(runs.runs("late"), is(0));
  }

  @Test
  void callThatRunsPastItsDeadlineIsAborted() throws Exception {
    BackendServerStandin standin = start(behaviour(1, LONG_SERVICE_US));

    HttpResponse<byte[]> late = send(request(standin, "late").header("Request-Timeout-Ms", "20"));

    assertThat(late.statusCode(), is(504));
    assertThat(runs.runs("late"), is(1));
  }

  @Test
  void closedConnectionReleasesSlot() throws Exception {
    BackendServerStandin standin = start(behaviour(1, LONG_SERVICE_US));
    try (Socket socket = new Socket("127.0.0.1", standin.port())) {
      socket
          .getOutputStream()
          .write("GET /x HTTP/1.1\r\nHost: x\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
      await(() -> standin.counts().runs() == 1);
    }
    await(() -> standin.counts().cancelled() == 1);
    standin.setBehaviour(behaviour(1, SHORT_SERVICE_US));

    assertThat(send(request(standin, "next")).statusCode(), is(200));
  }

  @Test
  void coldBackendCollapsesAboveCapacityAndWarmsUpBelowIt() throws Exception {
    BackendServerStandin standin =
        start(behaviour(3, 20_000).withColdStart(new ColdStart(1, 3, 20, 2, 0, 0)));
    BackendBehaviour usual = standin.behaviour();
    standin.setBehaviour(usual.withSlowFactor(1_000));
    standin.goCold();
    CompletableFuture<?> first = sendAsync(request(standin, "1"));
    await(() -> standin.counts().runs() == 1);
    CompletableFuture<?> second = sendAsync(request(standin, "2"));
    await(() -> standin.counts().runs() == 2 && standin.counts().collapses() > 0);
    standin.setBehaviour(usual);
    first.get();
    second.get();

    assertThat(standin.counts().collapses(), greaterThan(0L));
    assertThat(standin.counts().overColdCapacity(), is(1L));
    assertThat(standin.counts().overColdCapacityLate(), is(1L));
    for (int i = 0; standin.health() == BackendHealth.COLD; i++) {
      send(request(standin, "warm-up-" + i));
    }
    send(request(standin, "after"));
    assertThat(standin.counts().overColdCapacity(), is(1L));
  }

  @Test
  void endpointsReportConfiguredValuesAndProbesAreCounted() throws Exception {
    BackendServerStandin standin = start(behaviour(3, SHORT_SERVICE_US));
    standin.setBehaviour(
        standin.behaviour().withReports(new Reports(0, 0, BackendHealth.SHEDDING, 7)));
    URI load = URI.create("http://" + standin.address() + "/-/load");

    HttpResponse<String> response =
        client.send(HttpRequest.newBuilder(load).build(), HttpResponse.BodyHandlers.ofString());

    String expected = "{\"health\":\"shedding\",\"inFlight\":7,\"slots\":3,\"latencyMicros\":0}";
    assertThat(response.body(), is(expected));
    assertThat(standin.counts().probes(), is(1L));
    assertThat(standin.counts().calls(), is(0L));
  }

  @Test
  void controlEndpointChangesOnlyFieldsInBody() throws Exception {
    BackendServerStandin standin = start(behaviour(3, SHORT_SERVICE_US));
    URI uri = URI.create("http://" + standin.address() + "/-/behaviour");
    String change = "{\"slowFactor\": 4.0, \"noise\": {\"everyMs\": 200}}";

    HttpResponse<String> response =
        client.send(
            HttpRequest.newBuilder(uri).POST(HttpRequest.BodyPublishers.ofString(change)).build(),
            HttpResponse.BodyHandlers.ofString());

    assertThat(response.statusCode(), is(200));
    assertThat(
        standin.behaviour(),
        is(behaviour(3, SHORT_SERVICE_US).withSlowFactor(4).withNoise(new Noise(200, 0, 1))));
  }

  @Test
  void onlyFirstRequestOfConnectionIsDelayed() throws Exception {
    BackendServerStandin standin =
        start(behaviour(3, SHORT_SERVICE_US).withConnectDelayUs(100_000));
    long startNs = System.nanoTime();
    send(request(standin, "first"));
    long elapsedNs = System.nanoTime() - startNs;
    standin.setBehaviour(standin.behaviour().withConnectDelayUs(100_000_000));

    assertThat(elapsedNs, greaterThan(100_000_000L));
    assertThat(send(request(standin, "second")).statusCode(), is(200));
  }

  @Test
  void callsAfterMarkAreCounted() throws Exception {
    BackendServerStandin standin = start(behaviour(3, SHORT_SERVICE_US));
    standin.mark(60_000);
    send(request(standin, "in-time"));
    standin.mark(0);
    send(request(standin, "late"));
    standin.clearMark();
    send(request(standin, "back"));

    assertThat(standin.counts().afterMark(), is(1L));
  }

  @Test
  void uploadsAreVerifiedAndResponsesAreTruncatedOnDemand() throws Exception {
    BackendServerStandin standin = start(behaviour(3, SHORT_SERVICE_US));
    HttpRequest.BodyPublisher body = HttpRequest.BodyPublishers.ofByteArray(new byte[200_000]);

    HttpResponse<byte[]> bad =
        send(request(standin, "bad").header("Standin-Upload-Crc32", "00000000").PUT(body));
    HttpResponse<byte[]> good = send(request(standin, "good").PUT(body));
    standin.setBehaviour(standin.behaviour().withFailures(0, 100));

    assertThat(bad.statusCode(), is(422));
    assertThat(good.headers().firstValue("Standin-Upload-Bytes").orElse(""), is("200000"));
    assertThrows(IOException.class, () -> send(request(standin, "cut")));
    assertThat(standin.counts().badUploads(), is(1L));
  }
}
