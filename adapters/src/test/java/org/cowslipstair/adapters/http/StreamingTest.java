package org.cowslipstair.adapters.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.io.OutputStream;
import java.net.SocketTimeoutException;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.cowslipstair.adapters.http.RawCaller.Answer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Bodies that pass through: in bounded memory, whole or visibly broken, past slow callers. */
@Timeout(120)
final class StreamingTest {
  private static final int MIB = 1024 * 1024;
  private static final int BUFFERED_BYTES = 64 * 1024;

  /** More than the sockets of this machine and the gateway's buffers can hold together. */
  private static final long TOO_MUCH_BYTES = 256L * MIB;

  private static CallerLimits idle(long idleMs) {
    return new CallerLimits(16_384, 4L << 30, BUFFERED_BYTES, 5_000, 60_000, idleMs, 1, 60_000);
  }

  private static String postHead(long bytes) {
    return "POST / HTTP/1.1\r\nHost: a\r\nX-Request-Id: u\r\nContent-Length: " + bytes + "\r\n\r\n";
  }

  /** Writes until the peer takes no more; returns how much it took. */
  private static long writeUntilStuck(RawCaller caller, AtomicLong written, long bytes)
      throws Exception {
    byte[] block = new byte[BUFFERED_BYTES];
    OutputStream out = caller.socket.getOutputStream();
    Thread writer =
        Thread.ofVirtual()
            .start(
                () -> {
                  try {
                    while (written.get() < bytes) {
                      out.write(block);
                      written.addAndGet(block.length);
                    }
                  } catch (IOException ignored) {
                    // The connection was closed.
                  }
                });
    long before = -1;
    while (before != written.get()) {
      before = written.get();
      writer.join(300);
    }
    return before;
  }

  @Test
  void uploadToAStuckBackendFillsOnlyBoundedBuffers() throws Exception {
    CountDownLatch done = new CountDownLatch(1);
    try (RawBackend backend = new RawBackend(link -> awaitQuietly(done));
        Edge edge = new Edge(backend.server());
        RawCaller caller = new RawCaller(edge.port())) {
      caller.send(postHead(TOO_MUCH_BYTES));
      long taken = writeUntilStuck(caller, new AtomicLong(), TOO_MUCH_BYTES);
      assertThat(taken, lessThan(TOO_MUCH_BYTES / 2));
      done.countDown();
    }
  }

  private static void awaitQuietly(CountDownLatch latch) throws IOException {
    awaitQuietly(latch, 60_000);
  }

  private static void awaitQuietly(CountDownLatch latch, long timeoutMs) throws IOException {
    try {
      latch.await(timeoutMs, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      throw new IOException(e);
    }
  }

  @Test
  void downloadByAStuckCallerFillsOnlyBoundedBuffersAndEnds() throws Exception {
    AtomicLong written = new AtomicLong();
    CountDownLatch ended = new CountDownLatch(1);
    try (RawBackend backend =
            new RawBackend(
                link -> {
                  link.read();
                  link.write("HTTP/1.1 200 OK\r\nContent-Length: " + TOO_MUCH_BYTES + "\r\n\r\n");
                  byte[] block = new byte[BUFFERED_BYTES];
                  try {
                    while (written.get() < TOO_MUCH_BYTES) {
                      link.write(block);
                      written.addAndGet(block.length);
                    }
                  } finally {
                    ended.countDown();
                  }
                });
        Edge edge = new Edge(backend.server(), idle(400));
        RawCaller caller = new RawCaller(edge.port())) {
      caller.send(RawCaller.get("/"));
      assertThat("a stuck caller is given up", ended.await(60, TimeUnit.SECONDS));
      assertThat(written.get(), lessThan(TOO_MUCH_BYTES / 2));
      assertThrows(IOException.class, () -> caller.read());
    }
  }

  @Test
  void largeBodiesPassBothWaysWhole() throws Exception {
    int size = 5 * MIB + 1;
    try (RawBackend backend =
            new RawBackend(RawBackend.answering(r -> RawBackend.ok("y".repeat(r.body().length))));
        Edge edge = new Edge(backend.server())) {
      Answer answer = RawCaller.call(edge.port(), RawCaller.post("/", "u", "x".repeat(size)));
      assertThat(answer.body().length, is(size));
      String chunk = Integer.toHexString(size) + "\r\n" + "x".repeat(size) + "\r\n0\r\n\r\n";
      String head = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
      assertThat(RawCaller.call(edge.port(), head + chunk).body().length, is(size));
      assertThat(backend.received().getLast().header("Transfer-Encoding").isPresent(), is(true));
    }
  }

  @ParameterizedTest
  @CsvSource({"true,true", "true,false", "false,true", "false,false"})
  void answerCutShortAfterItsHeadWentOutIsNeverAWholeOne(boolean chunked, boolean reset)
      throws Exception {
    int size = 300_000;
    String framing =
        chunked
            ? "Transfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(size) + "\r\n"
            : "Content-Length: " + size + "\r\n\r\n";
    String part = "HTTP/1.1 200 OK\r\n" + framing + "z".repeat(size - (chunked ? 0 : 1));
    try (RawBackend backend =
            new RawBackend(
                link -> {
                  link.read();
                  link.write(part);
                  if (reset) {
                    link.reset();
                  }
                });
        Edge edge = new Edge(backend.server());
        RawCaller caller = new RawCaller(edge.port())) {
      caller.send(RawCaller.get("/"));
      caller.readUntil("HTTP/1.1 200 OK\r\n");
      String rest = caller.readRest();
      assertThat(rest.endsWith("\r\n0\r\n\r\n"), is(false));
      assertThat(rest.chars().filter(c -> c == 'z').count(), lessThan((long) size + 1));
      if (!chunked) {
        assertThat(rest.chars().filter(c -> c == 'z').count(), lessThan((long) size));
      }
    }
  }

  @Test
  void trailersOfAnAnswerPass() throws Exception {
    for (int size : new int[] {5, 200_000}) {
      String answer =
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n"
              + Integer.toHexString(size)
              + "\r\n"
              + "z".repeat(size)
              + "\r\n0\r\nX-Sum: 42\r\n\r\n";
      try (RawBackend backend = new RawBackend(RawBackend.answering(r -> answer));
          Edge edge = new Edge(backend.server())) {
        Answer got = RawCaller.call(edge.port(), RawCaller.get("/"));
        assertThat(got.body().length, is(size));
        assertThat(got.trailers(), contains("X-Sum: 42"));
        assertThat(got.headers(), hasItem("Trailer: X-Sum"));
      }
    }
  }

  @Test
  void eventsPassOneByOne() throws Exception {
    CountDownLatch seen = new CountDownLatch(1);
    String head =
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    try (RawBackend backend =
            new RawBackend(
                link -> {
                  link.read();
                  link.write(head + "5\r\nfirst\r\n");
                  awaitQuietly(seen);
                  link.write("4\r\nlast\r\n0\r\n\r\n");
                });
        Edge edge = new Edge(backend.server());
        RawCaller caller = new RawCaller(edge.port())) {
      caller.send(RawCaller.get("/"));
      caller.readUntil("first");
      seen.countDown();
      caller.readUntil("last");
    }
  }

  /** A caller has nothing to send while it waits, so its silence then is no fault. */
  @Test
  void slowAnswerOutlivesTheIdleTimeout() throws Exception {
    for (String request : new String[] {RawCaller.get("/"), RawCaller.post("/", "r", "body")}) {
      CountDownLatch never = new CountDownLatch(1);
      try (RawBackend backend =
              new RawBackend(
                  link -> {
                    link.read();
                    awaitQuietly(never, 1_000);
                    link.write(RawBackend.ok("late"));
                  });
          Edge edge = new Edge(backend.server(), idle(200))) {
        assertThat(RawCaller.call(edge.port(), request).text(), is("late"));
      }
    }
  }

  @Test
  void callerThatHangsUpCancelsItsCall() throws Exception {
    CompletableFuture<Integer> afterwards = new CompletableFuture<>();
    CountDownLatch running = new CountDownLatch(1);
    try (RawBackend backend =
            new RawBackend(
                link -> {
                  link.read();
                  running.countDown();
                  afterwards.complete(link.readBytes(1));
                });
        Edge edge = new Edge(backend.server())) {
      try (RawCaller caller = new RawCaller(edge.port())) {
        caller.send(RawCaller.post("/", "r", "body"));
        assertThat(running.await(60, TimeUnit.SECONDS), is(true));
      }
      assertThat("connection to the backend ends", afterwards.get(10, TimeUnit.SECONDS), is(0));
    }
  }

  @Test
  void callerThatPipelinesWhileItWaitsIsServedBothTimes() throws Exception {
    CountDownLatch release = new CountDownLatch(1);
    CountDownLatch running = new CountDownLatch(1);
    try (RawBackend backend =
            new RawBackend(
                link -> {
                  link.read();
                  running.countDown();
                  awaitQuietly(release, 300);
                  link.write(RawBackend.ok("1"));
                  link.read();
                  link.write(RawBackend.ok("2"));
                });
        Edge edge = new Edge(backend.server());
        RawCaller caller = new RawCaller(edge.port())) {
      caller.send(RawCaller.get("/"));
      assertThat(running.await(60, TimeUnit.SECONDS), is(true));
      caller.send(RawCaller.get("/"));
      assertThat(caller.read().text(), is("1"));
      assertThat(caller.read().text(), is("2"));
    }
  }

  @Test
  void silentCallerOfASmallBodyReachesNoBackend() throws Exception {
    try (RawBackend backend = new RawBackend(link -> link.read());
        Edge edge = new Edge(backend.server(), idle(200));
        RawCaller caller = new RawCaller(edge.port())) {
      caller.send(postHead(100) + "half");
      Answer answer = caller.read();
      assertThat(answer.status(), is(408));
      assertThat(answer.header("Cowslipstair-Outcome"), is(Optional.of("not-run")));
      assertThat(edge.handled.get(), is(0));
    }
  }

  @Test
  void callerThatTricklesABodyIsRefused() throws Exception {
    CallerLimits limits =
        new CallerLimits(16_384, 4L << 30, BUFFERED_BYTES, 5_000, 60_000, 300, 1_000_000, 60_000);
    try (RawBackend backend = new RawBackend(link -> link.read());
        Edge edge = new Edge(backend.server(), limits);
        RawCaller caller = new RawCaller(edge.port())) {
      caller.send(postHead(50_000));
      CompletableFuture<Integer> status = new CompletableFuture<>();
      Thread.ofVirtual().start(() -> status.complete(statusOf(caller)));
      while (!status.isDone()) {
        try {
          caller.send("x");
          status.get(20, TimeUnit.MILLISECONDS);
        } catch (IOException | java.util.concurrent.TimeoutException ignored) {
          // Goes on until the gateway has had enough.
        }
      }
      assertThat(status.get(), is(408));
      assertThat(edge.handled.get(), is(0));
    }
  }

  private static int statusOf(RawCaller caller) {
    try {
      return caller.read().status();
    } catch (IOException ignored) {
      return 0;
    }
  }

  @Test
  void callerThatBreaksOffAnUploadLeavesNoRun() throws Exception {
    CompletableFuture<Boolean> whole = new CompletableFuture<>();
    try (RawBackend backend =
            new RawBackend(
                link -> {
                  try {
                    link.read();
                    whole.complete(true);
                  } finally {
                    whole.complete(false);
                  }
                });
        Edge edge = new Edge(backend.server())) {
      try (RawCaller caller = new RawCaller(edge.port())) {
        caller.send(postHead(MIB) + "x".repeat(MIB / 2));
      }
      assertThat(whole.get(60, TimeUnit.SECONDS), is(false));
    }
  }

  @Test
  void continueIsSentOnlyWhenTheBodyIsWanted() throws Exception {
    try (RawBackend backend = new RawBackend(RawBackend.answering(r -> RawBackend.ok("ok")));
        Edge edge = new Edge(backend.server());
        RawCaller caller = new RawCaller(edge.port())) {
      String head =
          "POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n";
      caller.send(head);
      caller.readUntil("HTTP/1.1 100 Continue\r\n\r\n");
      caller.send("abc");
      assertThat(caller.read().text(), is("ok"));
      assertThat(backend.received().getFirst().header("Expect"), is(Optional.empty()));
    }
  }

  @Test
  void headAndNotModifiedKeepTheirLength() throws Exception {
    for (String start : new String[] {"200 OK", "304 Not Modified"}) {
      String answer = "HTTP/1.1 " + start + "\r\nContent-Length: 77\r\n\r\n";
      try (RawBackend backend = new RawBackend(RawBackend.answering(r -> answer));
          Edge edge = new Edge(backend.server())) {
        String request = "HEAD / HTTP/1.1\r\nHost: a\r\n\r\n";
        Answer got = RawCaller.call(edge.port(), request);
        assertThat(
            got.status() + " " + got.header("Content-Length").orElse("-"),
            is(start.substring(0, 3) + " 77"));
      }
    }
  }

  @Test
  void stopLetsCallsInProgressEndAndTellsCallersToLeave() throws Exception {
    CountDownLatch release = new CountDownLatch(1);
    CountDownLatch running = new CountDownLatch(1);
    try (RawBackend backend =
            new RawBackend(
                link -> {
                  link.read();
                  running.countDown();
                  awaitQuietly(release);
                  link.write(RawBackend.ok("whole"));
                });
        Edge edge = new Edge(backend.server());
        RawCaller caller = new RawCaller(edge.port())) {
      caller.send(RawCaller.get("/"));
      assertThat(running.await(60, TimeUnit.SECONDS), is(true));
      edge.server.stopAccepting();
      assertThat("not while a call runs", !edge.server.drain(System.nanoTime() + 50_000_000L));
      assertThrows(IOException.class, () -> new RawCaller(edge.port()).close());
      release.countDown();
      Answer answer = caller.read();
      assertThat(answer.text(), is("whole"));
      assertThat(answer.header("Connection"), is(Optional.of("close")));
      assertThat(edge.server.drain(System.nanoTime() + 60_000_000_000L), is(true));
    } catch (SocketTimeoutException e) {
      throw new AssertionError("no answer", e);
    }
  }
}
