package org.cowslipstair.edge;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Responses without a length: one that is cut short never looks complete (incident 7). */
@Timeout(60)
final class UnframedResponseTest {
  private static final int BAD_GATEWAY = 502;
  private static final int GATEWAY_TIMEOUT = 504;
  private static final int UPLOAD_BYTES = 900_000;
  private static final int STREAMED_BYTES = 600_000;
  private static final String PART = "the first part";
  private final GatewayFixture fixture = new GatewayFixture(2);
  private final RawClient client = fixture.client();

  UnframedResponseTest() throws IOException, InterruptedException {}

  @AfterEach
  void close() throws IOException {
    client.close();
    fixture.close();
    assertThat(fixture.violations, empty());
  }

  /** How a server ends its connection. */
  private enum End {
    RESET,
    /** The system resets a connection that is closed with bytes of the request unread. */
    CLOSED;

    void run(Socket socket) throws IOException {
      if (this == RESET) {
        socket.setSoLinger(true, 0);
      }
      socket.close();
    }
  }

  private static String unframed(ScriptedBackend.ReceivedRequest request, String body) {
    return "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Proof: p\r\n\r\n".formatted(request.requestId())
        + body;
  }

  private void script(ScriptedBackend.Script script) {
    fixture.backends.forEach(backend -> backend.script(script));
  }

  private int received() {
    return fixture.backends.stream().mapToInt(backend -> backend.receivedRequests.size()).sum();
  }

  /** Reported by operators: the client got the part as a complete answer. */
  @ParameterizedTest
  @CsvSource({"RESET, 0", "RESET, 100", "CLOSED, 0", "CLOSED, 100"})
  void earlyResponseToALongUploadThatIsResetIsAFailure(End end, long pauseMs) throws IOException {
    ScriptedBackend.EarlyResponseScript early =
        (request, socket) -> {
          ScriptedBackend.write(socket, unframed(request, PART));
          TimeUnit.MILLISECONDS.sleep(pauseMs);
          end.run(socket);
        };
    script(early);
    RawClient.Response response =
        client.send(RawClient.post("/upload/x", "one", "u".repeat(UPLOAD_BYTES)));
    assertThat(response.status(), is(BAD_GATEWAY));
    assertThat(response.header("X-Proof"), is(""));
    assertThat(received(), is(1));
  }

  @Test
  void responseThatStopsWithoutAnEndIsNoResponseAtTheTimeout() throws IOException {
    CountDownLatch done = new CountDownLatch(1);
    script(
        (request, socket) -> {
          ScriptedBackend.write(socket, unframed(request, PART));
          done.await();
        });
    RawClient.Response response = client.send(RawClient.post("/short/x", "one", "pay"));
    done.countDown();
    assertThat(response.status(), is(GATEWAY_TIMEOUT));
    assertThat(response.header("X-Proof"), is(""));
    assertThat(received(), is(1));
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void resetOfOneOfTwoSendsLeavesTheOther(boolean isFirstReset) throws IOException {
    fixture.earnHedge();
    CountDownLatch bothSent = new CountDownLatch(2);
    CountDownLatch reset = new CountDownLatch(1);
    AtomicInteger sends = new AtomicInteger();
    script(
        (request, socket) -> {
          boolean isReset = (sends.getAndIncrement() == 0) == isFirstReset;
          bothSent.countDown();
          bothSent.await();
          if (isReset) {
            ScriptedBackend.write(socket, unframed(request, PART));
            End.RESET.run(socket);
            reset.countDown();
          } else {
            reset.await();
            // Lets the reset arrive.
            TimeUnit.MILLISECONDS.sleep(50);
            ScriptedBackend.write(socket, unframed(request, "whole"));
            socket.close();
          }
        });
    assertThat(client.send(RawClient.get("/hedged/x", "one")).body(), is("whole"));
    assertThat(received(), is(2));
  }

  @Test
  void resetOfBothSendsIsAFailure() throws IOException {
    fixture.earnHedge();
    CountDownLatch bothSent = new CountDownLatch(2);
    script(
        (request, socket) -> {
          bothSent.countDown();
          bothSent.await();
          ScriptedBackend.write(socket, unframed(request, PART));
          End.RESET.run(socket);
        });
    RawClient.Response response = client.send(RawClient.get("/hedged/x", "one"));
    assertThat(response.status(), is(BAD_GATEWAY));
    assertThat(response.header("X-Proof"), is(""));
    assertThat(received(), is(2));
  }

  @ParameterizedTest
  @ValueSource(strings = {"safe", "download"})
  void streamedResponseIsCompleteOnlyAtItsEnd(String route) throws IOException {
    for (boolean isReset : List.of(true, false)) {
      script(
          (request, socket) -> {
            ScriptedBackend.write(socket, unframed(request, "x".repeat(STREAMED_BYTES)));
            // Lets the part arrive.
            TimeUnit.MILLISECONDS.sleep(100);
            socket.setSoLinger(isReset, 0);
            socket.close();
          });
      try (RawClient caller = fixture.client()) {
        RawClient.Response response = caller.send(RawClient.get("/" + route + "/x", "one"));
        assertThat(response.complete(), is(!isReset));
      }
    }
  }

  /** The end reaches the gateway while the caller holds it back from reading. */
  @Test
  void streamToASlowCallerThatIsResetIsIncomplete() throws Exception {
    String body = "x".repeat(8_000_000);
    script(
        (request, socket) -> {
          Thread.ofPlatform()
              .daemon()
              .start(
                  () -> {
                    try {
                      TimeUnit.MILLISECONDS.sleep(300);
                      End.RESET.run(socket);
                    } catch (IOException | InterruptedException e) {
                      throw new IllegalStateException(e);
                    }
                  });
          ScriptedBackend.write(socket, unframed(request, body));
        });
    try (RawClient caller = fixture.client()) {
      caller.write(RawClient.get("/safe/x", "one"));
      TimeUnit.MILLISECONDS.sleep(600);
      RawClient.Response response = caller.readResponse();
      assertThat(response.complete(), is(false));
    }
    assertThat(received(), is(1));
  }
}
