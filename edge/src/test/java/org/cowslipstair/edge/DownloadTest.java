package org.cowslipstair.edge;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Large responses of routes for downloads, which are passed on as they come. */
@Timeout(60)
final class DownloadTest {
  private static final int BODY_BYTES = 300_000;

  /** Above and below what is held of a download. */
  private static final int LONG_PART_BYTES = 150_000;

  private static final int SHORT_PART_BYTES = 40_000;
  private static final long ENDLESS_BYTES = 256L << 20;

  /** Above what sockets and the gateway hold together. */
  private static final long MAX_HELD_BYTES = 64L << 20;

  private final GatewayFixture fixture = new GatewayFixture(2);
  private final RawClient client = fixture.client();

  DownloadTest() throws IOException, InterruptedException {}

  @AfterEach
  void close() throws IOException {
    client.close();
    fixture.close();
    assertThat(fixture.violations, empty());
  }

  private void script(ScriptedBackend.Script script) {
    fixture.backends.forEach(backend -> backend.script(script));
  }

  private int received() {
    return fixture.backends.stream().mapToInt(backend -> backend.receivedRequests.size()).sum();
  }

  private static String whole(ScriptedBackend.ReceivedRequest request) {
    return ScriptedBackend.response(request.requestId(), 200, "x".repeat(BODY_BYTES));
  }

  @Test
  void headIsPassedOnBeforeTheBodyIsWhole() throws IOException {
    CountDownLatch headRead = new CountDownLatch(1);
    script(
        (request, socket) -> {
          String response = whole(request);
          ScriptedBackend.write(socket, response.substring(0, LONG_PART_BYTES));
          headRead.await();
          ScriptedBackend.write(socket, response.substring(LONG_PART_BYTES));
        });
    client.write(RawClient.get("/download/x", "one"));
    assertThat(client.readHead(), containsString("X-Proof"));
    headRead.countDown();
  }

  @ParameterizedTest
  @ValueSource(ints = {0, SHORT_PART_BYTES, LONG_PART_BYTES, BODY_BYTES})
  void bodyOfAnyLengthIsPassedOnWhole(int bytes) throws IOException {
    String body = "0123456789".repeat(bytes / 10);
    script(ScriptedBackend.Script.ok(body));
    RawClient.Response response = client.send(RawClient.get("/download/x", "one"));
    assertThat(response.body(), is(body));
    assertThat(response.complete(), is(true));
  }

  /** Nothing has been passed on yet, so another server can still respond. */
  @Test
  void responseThatEndsEarlyIsRepeatedBeforeItsHeadHasGone() throws IOException {
    AtomicInteger sends = new AtomicInteger();
    script(
        (request, socket) -> {
          if (sends.getAndIncrement() == 0) {
            ScriptedBackend.write(socket, whole(request).substring(0, SHORT_PART_BYTES));
            socket.close();
          } else {
            ScriptedBackend.write(socket, whole(request));
          }
        });
    RawClient.Response response = client.send(RawClient.get("/download/x", "one"));
    assertThat(response.body().length(), is(BODY_BYTES));
    assertThat(received(), is(2));
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void responseThatEndsEarlyNeverLooksComplete(boolean isReset) throws IOException {
    script(
        (request, socket) -> {
          ScriptedBackend.write(socket, whole(request).substring(0, LONG_PART_BYTES));
          // Lets the part arrive.
          TimeUnit.MILLISECONDS.sleep(100);
          socket.setSoLinger(isReset, 0);
          socket.close();
        });
    RawClient.Response response = client.send(RawClient.get("/download/x", "one"));
    assertThat(response.complete(), is(false));
    assertThat(received(), is(1));
  }

  @Test
  void firstOfTwoSendsToGetFarEndsTheOther() throws Exception {
    fixture.earnHedge();
    CountDownLatch bothSent = new CountDownLatch(2);
    CountDownLatch ended = new CountDownLatch(1);
    AtomicInteger sends = new AtomicInteger();
    script(
        (request, socket) -> {
          boolean isFirst = sends.getAndIncrement() == 0;
          bothSent.countDown();
          bothSent.await();
          if (isFirst) {
            // The gateway closes the connection.
            socket.getInputStream().read();
            ended.countDown();
          } else {
            ScriptedBackend.write(socket, whole(request).substring(0, LONG_PART_BYTES));
            ended.await();
            ScriptedBackend.write(socket, whole(request).substring(LONG_PART_BYTES));
          }
        });
    RawClient.Response response = client.send(RawClient.get("/hedged-download/x", "one"));
    assertThat(response.body().length(), is(BODY_BYTES));
    assertThat(response.complete(), is(true));
  }

  @Test
  void longFailureIsHeld() throws IOException {
    script(
        (request, socket) ->
            ScriptedBackend.write(
                socket,
                ScriptedBackend.response(request.requestId(), 404, "x".repeat(LONG_PART_BYTES))));
    RawClient.Response response = client.send(RawClient.get("/download/x", "one"));
    assertThat(response.status(), is(404));
    assertThat(response.body().length(), is(LONG_PART_BYTES));
  }

  @Test
  void callerThatDoesNotReadHoldsBackItsServer() throws Exception {
    AtomicLong writtenBytes = new AtomicLong();
    script(
        (request, socket) -> {
          if (request.requestId().equals("other")) {
            ScriptedBackend.write(socket, whole(request));
            return;
          }
          String head = ScriptedBackend.response(request.requestId(), 200, "");
          ScriptedBackend.write(
              socket, head.replace("Content-Length: 0", "Content-Length: " + ENDLESS_BYTES));
          byte[] part = new byte[LONG_PART_BYTES];
          while (writtenBytes.get() < ENDLESS_BYTES) {
            socket.getOutputStream().write(part);
            writtenBytes.addAndGet(part.length);
          }
        });
    client.write(RawClient.get("/download/x", "slow"));
    TimeUnit.MILLISECONDS.sleep(1_000);
    assertThat(writtenBytes.get(), lessThan(MAX_HELD_BYTES));
    try (RawClient other = fixture.client()) {
      assertThat(other.send(RawClient.get("/download/x", "other")).complete(), is(true));
    }
  }
}
