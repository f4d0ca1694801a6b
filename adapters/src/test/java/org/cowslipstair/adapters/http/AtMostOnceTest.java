package org.cowslipstair.adapters.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import java.util.zip.CRC32;
import org.cowslipstair.adapters.http.RawBackend.Link;
import org.cowslipstair.adapters.http.RawBackend.Received;
import org.cowslipstair.adapters.http.RawCaller.Answer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Counts how often requests run in a backend server whose connections break at every byte. */
@Timeout(120)
final class AtMostOnceTest {
  private static final String CHUNKED =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-T\r\n\r\n"
          + "6\r\nanswer\r\n8\r\n to all!\r\n0\r\nX-T: 1\r\n\r\n";
  private static final String FIXED = RawBackend.ok("answer to all!");
  private volatile int cutAt;
  private volatile boolean armed;

  private void cut(Link link, boolean reset) throws IOException {
    if (reset) {
      link.reset();
    }
    throw new IOException("cut");
  }

  /** Calls; empty if the caller sees that the answer is not whole. */
  private static Optional<Answer> call(int port, String request) {
    try {
      return Optional.of(RawCaller.call(port, request));
    } catch (IOException ignored) {
      return Optional.empty();
    }
  }

  /** Checks what a caller of a request that must not repeat was told against what happened. */
  private static void requireOutcome(Answer answer, int runs) {
    if (answer.status() == 200) {
      assertThat(runs, is(1));
      return;
    }
    String outcome = answer.header("Cowslipstair-Outcome").orElseThrow();
    assertThat(outcome, runs, lessThanOrEqualTo(outcome.equals("not-run") ? 0 : 1));
  }

  @ParameterizedTest
  @CsvSource({"true,true", "true,false", "false,true", "false,false"})
  void requestCutAtEveryByteRunsAtMostOnce(boolean reset, boolean pooled) throws Exception {
    try (RawBackend backend =
            new RawBackend(
                link -> {
                  if (pooled) {
                    link.read();
                    link.write(FIXED);
                  }
                  if (cutAt < 0) {
                    link.read();
                    link.write(FIXED);
                    return;
                  }
                  link.readBytes(cutAt);
                  cut(link, reset);
                });
        Edge edge = new Edge(backend.server())) {
      cutAt = -1;
      if (pooled) {
        RawCaller.call(edge.port(), RawCaller.get("/"));
      }
      RawCaller.call(edge.port(), RawCaller.post("/", "r---", "order----"));
      int requestBytes = backend.received().getLast().wireBytes();
      assertThat(requestBytes, greaterThan(100));
      edge.transport.closeIdleConnections();
      for (cutAt = pooled ? 1 : 0; cutAt <= requestBytes; cutAt++) {
        if (pooled) {
          assertThat(RawCaller.call(edge.port(), RawCaller.get("/")).status(), is(200));
        }
        int before = backend.connections();
        String id = "r%03d".formatted(cutAt);
        String request = RawCaller.post("/", id, "order-" + id.substring(1));

        Answer answer = RawCaller.call(edge.port(), request);

        requireOutcome(answer, backend.runs(id));
        assertThat(backend.runs(id), is(0));
        if (cutAt > 0) {
          assertThat(answer.status(), is(502));
          assertThat(backend.connections() - before, is(pooled ? 0 : 1));
        }
      }
    }
  }

  @ParameterizedTest
  @CsvSource({
    "true,true,65536", "true,false,65536", "false,true,65536", "false,false,65536",
    "true,true,4", "true,false,4", "false,true,4", "false,false,4"
  })
  void answerCutAtEveryByteIsSeenAndTheRequestRanOnce(boolean reset, boolean chunked, int buffered)
      throws Exception {
    byte[] whole = (chunked ? CHUNKED : FIXED).getBytes(StandardCharsets.ISO_8859_1);
    CallerLimits limits =
        new CallerLimits(16_384, 1 << 20, buffered, 9_000, 9_000, 9_000, 1, 9_000);
    try (RawBackend backend =
            new RawBackend(
                link -> {
                  link.read();
                  link.socket.getOutputStream().write(whole, 0, cutAt);
                  cut(link, reset);
                });
        Edge edge = new Edge(backend.server(), limits)) {
      for (cutAt = 0; cutAt <= whole.length; cutAt++) {
        String id = "r" + cutAt;
        Optional<Answer> answer = call(edge.port(), RawCaller.post("/", id, "order"));

        assertThat(backend.runs(id), is(1));
        if (answer.isPresent() && answer.get().status() != 200) {
          requireOutcome(answer.get(), 1);
          assertThat(answer.get().status(), is(502));
        } else if (answer.isPresent()) {
          assertThat("cut at " + cutAt, cutAt, is(whole.length));
          assertThat(answer.get().text(), is("answer to all!"));
        } else {
          assertThat(buffered, is(4));
        }
        if (cutAt == whole.length && !reset) {
          assertThat(answer.map(Answer::status), is(Optional.of(200)));
        }
      }
    }
  }

  @Test
  void idempotentRequestCutAtEveryByteGetsItsWholeAnswerOrAFailure() throws Exception {
    AtomicInteger whole = new AtomicInteger();
    int requestBytes = 115;
    try (RawBackend backend =
            new RawBackend(
                link -> {
                  if (armed) {
                    armed = false;
                    link.readBytes(cutAt);
                    cut(link, true);
                  }
                  RawBackend.answering(r -> RawBackend.ok(r.requestLine())).serve(link);
                });
        Edge edge = new Edge(backend.server())) {
      for (cutAt = 0; cutAt < requestBytes; cutAt++) {
        edge.transport.closeIdleConnections();
        armed = true;
        String id = "g" + cutAt;
        String request =
            "GET /" + cutAt + " HTTP/1.1\r\nHost: a\r\nX-Request-Id: " + id + "\r\n\r\n";
        Answer answer = RawCaller.call(edge.port(), request);
        if (answer.status() == 200) {
          assertThat(answer.text(), is("GET /" + cutAt + " HTTP/1.1"));
          whole.incrementAndGet();
        } else {
          requireOutcome(answer, backend.runs(id));
        }
      }
    }
    assertThat("some were retried", whole.get(), greaterThan(0));
  }

  @Test
  void shedCallDidNotRunHoweverOften() throws Exception {
    String shed = "HTTP/1.1 503 Busy\r\nBackend-Not-Run: 1\r\nContent-Length: 4\r\n\r\nbusy";
    try (RawBackend backend =
            new RawBackend(
                link -> {
                  while (true) {
                    link.peek();
                    link.write(shed);
                  }
                });
        Edge edge = new Edge(backend.server())) {
      for (int i = 0; i < 20; i++) {
        Answer answer = RawCaller.call(edge.port(), RawCaller.post("/", "r" + i, "order"));
        assertThat(answer.status(), is(503));
        assertThat(answer.header("Cowslipstair-Outcome"), is(Optional.of("not-run")));
        requireOutcome(answer, backend.runs("r" + i));
      }
    }
  }

  @Test
  void lateAnswerIsNeverGivenToAnotherCall() throws Exception {
    CountDownLatch late = new CountDownLatch(1);
    try (RawBackend backend =
            new RawBackend(
                link -> {
                  Received request = link.read();
                  if (request.requestLine().contains("slow")) {
                    await(late);
                  }
                  link.write(RawBackend.ok(request.requestLine()));
                  link.discard();
                });
        Edge edge = new Edge(backend.server())) {
      String slow =
          "GET /slow HTTP/1.1\r\nHost: a\r\nX-Request-Id: s\r\nRequest-Timeout-Ms: 100\r\n\r\n";
      try (RawCaller caller = new RawCaller(edge.port())) {
        caller.send(slow);
        assertThat(caller.read().status(), is(504));
        late.countDown();
        caller.send(RawCaller.get("/next"));
        assertThat(caller.read().text(), is("GET /next HTTP/1.1"));
      }
      assertThat(backend.runs("s"), is(1));
    }
  }

  private static void await(CountDownLatch latch) throws IOException {
    try {
      if (!latch.await(20, TimeUnit.SECONDS)) {
        throw new IOException("not released");
      }
    } catch (InterruptedException e) {
      throw new IOException(e);
    }
  }

  @Test
  void manyCallersOverBreakingConnectionsEachGetTheirOwnAnswer() throws Exception {
    int callers = 16;
    int callsEach = 60;
    try (RawBackend backend = new RawBackend(AtMostOnceTest::serveWithFaults);
        Edge edge = new Edge(backend.server());
        ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor()) {
      List<Future<Integer>> ends = new ArrayList<>();
      for (int i = 0; i < callers; i++) {
        int caller = i;
        ends.add(threads.submit(() -> callOverAndOver(edge, backend, caller, callsEach)));
      }
      int answered = 0;
      for (Future<Integer> end : ends) {
        answered += end.get(60, TimeUnit.SECONDS);
      }
      assertThat(answered, greaterThan(callers * callsEach / 2));
    }
  }

  private static int callOverAndOver(Edge edge, RawBackend backend, int caller, int calls)
      throws IOException {
    int answered = 0;
    RawCaller connection = new RawCaller(edge.port());
    for (int i = 0; i < calls; i++) {
      String id = "c" + caller + "-" + i;
      String body = (id + ";").repeat(1 + (caller * 7 + i * 13) % 400);
      connection.send(RawCaller.post("/", id, body));
      Answer answer = connection.read();
      if (answer.status() == 200) {
        assertThat(answer.text(), is(id + " " + checksum(body)));
        answered++;
      }
      int allowed = answer.header("Cowslipstair-Outcome").equals(Optional.of("not-run")) ? 0 : 1;
      assertThat(id, backend.runs(id), lessThanOrEqualTo(allowed));
    }
    connection.close();
    return answered;
  }

  /** Breaks one in a few connections, in a way that the length of the body picks. */
  private static void serveWithFaults(Link link) throws IOException {
    while (true) {
      Received request = link.peek();
      String body = new String(request.body(), StandardCharsets.ISO_8859_1);
      String answer =
          RawBackend.ok(request.header("X-Request-Id").orElseThrow() + " " + checksum(body));
      switch (body.length() % 17) {
        case 0 ->
            link.write("HTTP/1.1 503 Busy\r\nBackend-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
        case 1 -> link.reset();
        case 2 -> {
          link.run(request);
          link.write(answer.substring(0, answer.length() / 2));
          link.reset();
        }
        case 3 -> {
          link.run(request);
          link.write(answer);
          return;
        }
        default -> {
          link.run(request);
          link.write(answer);
        }
      }
    }
  }

  private static long checksum(String text) {
    CRC32 crc = new CRC32();
    crc.update(text.getBytes(StandardCharsets.ISO_8859_1));
    return crc.getValue();
  }

  @Test
  void pipelinedRequestsAreAnsweredInOrder() throws Exception {
    Function<Received, String> echo = r -> RawBackend.ok(r.requestLine());
    try (RawBackend backend = new RawBackend(RawBackend.answering(echo));
        Edge edge = new Edge(backend.server());
        RawCaller caller = new RawCaller(edge.port())) {
      caller.send(RawCaller.get("/1") + RawCaller.get("/2") + RawCaller.get("/3"));
      for (int i = 1; i <= 3; i++) {
        assertThat(caller.read().text(), is("GET /" + i + " HTTP/1.1"));
      }
    }
  }
}
