package org.cowslipstair.adapters.http;

import static java.util.concurrent.TimeUnit.SECONDS;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import org.cowslipstair.model.call.HeaderField;
import org.cowslipstair.model.config.BackendServer;
import org.cowslipstair.port.BackendException;
import org.cowslipstair.port.BackendTransport.BackendRequest;
import org.cowslipstair.port.BackendTransport.BackendRequestBody;
import org.cowslipstair.port.BackendTransport.BackendResponse;
import org.cowslipstair.port.MonotonicClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class OkHttpBackendTransportTest {
  private static final long SECOND_NS = 1_000_000_000L;
  private static final long SHORT_NS = 150_000_000L;
  private final OkHttpBackendTransport transport =
      new OkHttpBackendTransport(BackendLimits.defaults(), _ -> 2, MonotonicClock.system());

  @AfterEach
  void closeTransport() {
    transport.close();
  }

  private static BackendRequest call(String method, BackendRequestBody body, long timeoutNs) {
    HeaderField id = new HeaderField("X-Request-Id", "r");
    return new BackendRequest(method, "/x", List.of(id), body, System.nanoTime() + timeoutNs);
  }

  private static BackendRequest get() {
    return call("GET", new BackendRequestBody.None(), 20 * SECOND_NS);
  }

  private static BackendRequest post(String body) {
    byte[] bytes = body.getBytes(StandardCharsets.ISO_8859_1);
    return call("POST", new BackendRequestBody.Buffered(bytes), 20 * SECOND_NS);
  }

  private String fetch(RawBackend backend, BackendRequest call) throws Exception {
    try (BackendResponse answer = transport.send(backend.server(), call)) {
      return new String(answer.body().readAllBytes(), StandardCharsets.ISO_8859_1);
    }
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "503 Unavailable\r\nRetry-After: 0",
        "408 Request Timeout",
        "408 Request Timeout\r\nConnection: close",
        "421 Misdirected",
        "401 Unauthorized\r\nWWW-Authenticate: Basic",
        "407 Proxy\r\nProxy-Authenticate: Basic",
        "301 Moved\r\nLocation: /y",
        "307 Temporary\r\nLocation: /y",
        "308 Permanent\r\nLocation: /y"
      })
  void answerThatInvitesARetryIsPassedOnAndNotRetried(String head) throws Exception {
    String answer = "HTTP/1.1 " + head + "\r\nContent-Length: 2\r\n\r\nno";
    try (RawBackend backend = new RawBackend(RawBackend.answering(r -> answer))) {
      assertThat(fetch(backend, get()), is("no"));
      assertThat(fetch(backend, post("b")), is("no"));
      try (BackendResponse again = transport.send(backend.server(), get())) {
        assertThat(again.status(), is(Integer.parseInt(head.substring(0, 3))));
        boolean hasRetryAfter = HeaderRules.first(again.headers(), "Retry-After").isPresent();
        assertThat(hasRetryAfter, is(head.contains("Retry-After")));
      }
      assertThat(backend.received().size(), is(3));
    }
  }

  @Test
  void pooledConnectionThatTheBackendClosedIsNoticedBeforeSending() throws Exception {
    CountDownLatch closed = new CountDownLatch(1);
    try (RawBackend backend =
        new RawBackend(
            link -> {
              link.read();
              link.write(RawBackend.ok("1"));
              link.socket.close();
              closed.countDown();
            })) {
      fetch(backend, post("a"));
      assertThat(closed.await(20, SECONDS), is(true));

      assertThat(fetch(backend, post("b")), is("1"));

      assertThat(backend.received().size(), is(2));
      assertThat(backend.connections(), is(2));
    }
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void pooledConnectionClosedAfterTheFirstByteOfARequestIsLostAndNotRetried(boolean reset)
      throws Exception {
    try (RawBackend backend =
        new RawBackend(
            link -> {
              link.read();
              link.write(RawBackend.ok("1"));
              link.readBytes(1);
              if (reset) {
                link.reset();
              }
            })) {
      fetch(backend, get());

      assertThrows(BackendException.ConnectionLost.class, () -> fetch(backend, get()));

      assertThat(backend.connections(), is(1));
    }
  }

  @Test
  void connectionThatIsRefusedSentNothing() throws Exception {
    try (Socket deaf = RawBackend.deafSocket()) {
      BackendServer server = RawBackend.serverAt(deaf.getLocalPort());
      assertThrows(BackendException.NotSent.class, () -> transport.send(server, post("x")));
    }
  }

  @Test
  void secondAnswerToOneRequestIsNeverTheAnswerToAnother() throws Exception {
    try (RawBackend backend =
        new RawBackend(
            link -> {
              link.read();
              link.write(RawBackend.ok("mine") + RawBackend.ok("not yours"));
              link.read();
              link.write(RawBackend.ok("yours"));
            })) {
      assertThat(fetch(backend, get()), is("mine"));
      assertThrows(BackendException.ConnectionLost.class, () -> fetch(backend, get()));
    }
  }

  @Test
  void compressedAnswerStaysAsItIs() throws Exception {
    String answer = "HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\nContent-Length: 4\r\n\r\nzzzz";
    try (RawBackend backend = new RawBackend(RawBackend.answering(r -> answer))) {
      assertThat(fetch(backend, get()), is("zzzz"));
      assertThat(backend.received().getFirst().header("Accept-Encoding"), is(Optional.empty()));
    }
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 200 OK\r\n\r\nends with connection",
        "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
        "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: +1\r\n\r\na",
        "HTTP/1.1 101 Switching\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
        "SSH-2.0-OpenSSH\r\n\r\n"
      })
  void answerWithoutARecognisableEndIsRefused(String answer) throws Exception {
    try (RawBackend backend =
        new RawBackend(
            link -> {
              link.read();
              link.write(answer);
            })) {
      assertThrows(BackendException.ConnectionLost.class, () -> fetch(backend, get()));
    }
  }

  @Test
  void bodilessAnswerWithLengthIsNotWaitedFor() throws Exception {
    String answer = "HTTP/1.1 304 Not Modified\r\nContent-Length: 99\r\n\r\n";
    try (RawBackend backend = new RawBackend(RawBackend.answering(r -> answer))) {
      assertThat(fetch(backend, get()), is(""));
      assertThat(fetch(backend, get()), is(""));
      assertThat(fetch(backend, call("HEAD", new BackendRequestBody.None(), SECOND_NS)), is(""));
    }
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "HEAD 200 OK\r\nContent-Length: 99",
        "GET 304 Not Modified\r\nETag: x",
        "GET 204 No Content\r\nETag: x"
      })
  void answerWithoutBodyLeavesItsConnectionInUse(String methodAndHead) throws Exception {
    String method = methodAndHead.substring(0, methodAndHead.indexOf(' '));
    String answer = "HTTP/1.1" + methodAndHead.substring(method.length()) + "\r\n\r\n";
    try (RawBackend backend = new RawBackend(RawBackend.answering(r -> answer))) {
      for (int i = 0; i < 3; i++) {
        BackendRequest call = call(method, new BackendRequestBody.None(), 20 * SECOND_NS);
        transport.send(backend.server(), call).close();
      }
      assertThat(
          fetch(backend, call(method, new BackendRequestBody.None(), 20 * SECOND_NS)), is(""));
      assertThat(backend.connections(), is(1));
    }
  }

  @Test
  void deadlineEndsABodyThatStallsAndItsConnection() throws Exception {
    CompletableFuture<Integer> afterwards = new CompletableFuture<>();
    try (RawBackend backend =
        new RawBackend(
            link -> {
              link.read();
              link.write("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf");
              afterwards.complete(link.readBytes(1));
            })) {
      BackendRequest call = call("GET", new BackendRequestBody.None(), SHORT_NS);
      try (BackendResponse answer = transport.send(backend.server(), call)) {
        assertThrows(IOException.class, () -> answer.body().readAllBytes());
        assertThat(System.nanoTime() - call.deadlineNs(), greaterThan(-SHORT_NS / 10));
      }
      assertThat(afterwards.get(20, SECONDS), is(0));
    }
  }

  @Test
  void deadlineEndsAnUploadWhoseCallerIsSilent() throws Exception {
    InputStream silent =
        new InputStream() {
          @Override
          public int read() throws IOException {
            try {
              Thread.sleep(60_000);
              return 0;
            } catch (InterruptedException e) {
              throw new IOException(e);
            }
          }
        };
    try (RawBackend backend = new RawBackend(link -> link.read())) {
      BackendRequest call = call("POST", new BackendRequestBody.Streamed(silent, 5), SHORT_NS);
      BackendException failure = assertThrows(BackendException.class, () -> fetch(backend, call));
      assertThat(failure, instanceOf(BackendException.NotSent.class));
      assertThat(Thread.interrupted(), is(false));
    }
  }

  @Test
  void remainingTimeGoesToTheBackend() throws Exception {
    try (RawBackend backend = new RawBackend(RawBackend.answering(r -> RawBackend.ok("")))) {
      fetch(backend, call("GET", new BackendRequestBody.None(), 5 * SECOND_NS));
      String sentMs = backend.received().getFirst().header("Request-Timeout-Ms").orElseThrow();
      assertThat(Integer.parseInt(sentMs) <= 5_000 && Integer.parseInt(sentMs) > 3_000, is(true));
    }
  }

  @Test
  void interruptedCallIsCancelledAndItsConnectionClosed() throws Exception {
    CountDownLatch reading = new CountDownLatch(1);
    CompletableFuture<Integer> afterwards = new CompletableFuture<>();
    try (RawBackend backend =
        new RawBackend(
            link -> {
              link.read();
              reading.countDown();
              afterwards.complete(link.readBytes(1));
            })) {
      CompletableFuture<Throwable> end = new CompletableFuture<>();
      Thread sender =
          Thread.ofVirtual()
              .start(
                  () -> end.complete(assertThrows(Exception.class, () -> fetch(backend, get()))));
      assertThat(reading.await(20, SECONDS), is(true));
      sender.interrupt();
      assertThat(end.get(20, SECONDS), instanceOf(InterruptedException.class));
      assertThat(afterwards.get(20, SECONDS), is(0));
    }
  }

  @Test
  void answerClosedEarlyLeavesNoConnectionToReuse() throws Exception {
    try (RawBackend backend =
        new RawBackend(RawBackend.answering(r -> RawBackend.ok("x".repeat(100_000))))) {
      transport.send(backend.server(), get()).close();
      assertThat(fetch(backend, get()).length(), is(100_000));
      assertThat(backend.connections(), is(2));
    }
  }

  @Test
  void connectionsOfABackendStayWithinTheirBound() throws Exception {
    try (RawBackend backend = new RawBackend(RawBackend.answering(r -> RawBackend.ok("abc")));
        BackendResponse first = transport.send(backend.server(), get());
        BackendResponse second = transport.send(backend.server(), get())) {
      BackendRequest third = call("GET", new BackendRequestBody.None(), SHORT_NS);
      assertThrows(BackendException.NotSent.class, () -> fetch(backend, third));
      first.body().readAllBytes();
      assertThat(fetch(backend, get()), is("abc"));
      assertThat(second.status(), is(200));
      assertThat(backend.connections(), is(2));
    }
  }

  @Test
  void backendsThatAreGoneAreForgotten() throws Exception {
    for (int i = 0; i < 5; i++) {
      try (RawBackend backend = new RawBackend(RawBackend.answering(r -> RawBackend.ok("abc")))) {
        assertThat(fetch(backend, get()), is("abc"));
        transport.closeIdleConnections();
      }
    }
    assertThat(transport.backendCount(), is(1));
    assertThat(transport.connectionCount(), is(0));
  }

  @Test
  void callerThatBreaksOffItsBodyIsToldApart() throws Exception {
    try (RawBackend backend = new RawBackend(link -> link.read())) {
      BackendRequestBody cut =
          new BackendRequestBody.Streamed(new ByteArrayInputStream(new byte[40_000]), 80_000);
      BackendRequest call = call("POST", cut, 20 * SECOND_NS);
      assertThrows(BackendException.CallerFailed.class, () -> fetch(backend, call));
      assertThat(backend.received().size(), is(0));
    }
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void answerThatComesBeforeTheUploadEndsIsPassedOn(boolean closes) throws Exception {
    CountDownLatch answered = new CountDownLatch(1);
    InputStream endless =
        new InputStream() {
          private long sent;

          @Override
          public int read() {
            throw new UnsupportedOperationException();
          }

          @Override
          public int read(byte[] bytes, int offset, int length) throws IOException {
            try {
              if (sent > 0 && !answered.await(20, SECONDS)) {
                throw new IOException("no answer");
              }
            } catch (InterruptedException e) {
              throw new IOException(e);
            }
            sent += length;
            return length;
          }
        };
    try (RawBackend backend =
        new RawBackend(
            link -> {
              link.readBytes(200);
              link.write("HTTP/1.1 413 Too Large\r\nContent-Length: 3\r\n\r\nbig");
              if (closes) {
                link.socket.shutdownOutput();
              }
              answered.countDown();
              link.discard();
            })) {
      BackendRequestBody upload = new BackendRequestBody.Streamed(endless, 1L << 40);
      BackendRequest call = call("POST", upload, 20 * SECOND_NS);
      try (BackendResponse answer = transport.send(backend.server(), call)) {
        assertThat(answer.status(), is(413));
        assertThat(new String(answer.body().readAllBytes()), is("big"));
      }
    }
  }
}
