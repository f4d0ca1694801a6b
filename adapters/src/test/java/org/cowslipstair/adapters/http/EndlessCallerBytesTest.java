package org.cowslipstair.adapters.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Reported by users: bytes of a caller that never become a request were read without an end. */
@Timeout(120)
final class EndlessCallerBytesTest {
  /** Far more than sockets, buffers and the largest body hold together. */
  private static final long MAX_BYTES = 64L << 20;

  private static final int MAX_BODY_BYTES = 1 << 20;
  private static final long SLOW_WRITE_INTERVAL_MS = 50;
  private static final long MAX_SLOW_MS = 8_000;
  private static final String CHUNKED = "Transfer-Encoding: chunked\r\n\r\n";

  private final RawBackend backend;
  private final Edge edge;

  EndlessCallerBytesTest() throws IOException {
    backend = new RawBackend(RawBackend.answering(_ -> RawBackend.ok("fine")));
    edge =
        new Edge(
            backend.server(),
            new CallerLimits(16_384, MAX_BODY_BYTES, 65_536, 5_000, 60_000, 10_000, 1_024, 60_000));
  }

  @AfterEach
  void otherCallsAreStillServed() throws IOException {
    assertThat(RawCaller.call(edge.port(), RawCaller.get("/")).status(), is(200));
    edge.close();
    backend.close();
  }

  /** Writes a start, then a part again and again until the gateway closes; returns the bytes. */
  private long writeUntilClosed(String start, String part, long intervalMs)
      throws InterruptedException {
    long bytes = 0;
    byte[] repeated = part.repeat(intervalMs > 0 ? 1 : 1_000).getBytes(StandardCharsets.US_ASCII);
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), edge.port())) {
      OutputStream out = socket.getOutputStream();
      out.write(start.getBytes(StandardCharsets.US_ASCII));
      while (bytes < MAX_BYTES) {
        out.write(repeated);
        bytes += repeated.length;
        TimeUnit.MILLISECONDS.sleep(intervalMs);
      }
    } catch (IOException closedByTheGateway) {
      return bytes;
    }
    return bytes;
  }

  @ParameterizedTest
  @CsvSource({
    "GET /, a",
    "'GET / HTTP/1.1\r\nHost: a\r\nX-A: ', a",
    "'GET / HTTP/1.1\r\nHost: a\r\n', 'X-A: b\r\n'",
    "'', '\r\n'",
    "'POST / HTTP/1.1\r\nHost: a\r\n" + CHUNKED + "1;', a",
    "'POST / HTTP/1.1\r\nHost: a\r\n" + CHUNKED + "', '1\r\na\r\n'",
    "'GET / HTTP/1.1\r\nHost: a\r\n" + CHUNKED + "', '1\r\na\r\n'",
    "'GET / HTTP/1.1\r\nHost: a\r\n" + CHUNKED + "1;', a",
    "'POST / HTTP/1.1\r\nHost: a\r\n" + CHUNKED + "0\r\n', 'X-A: b\r\n'"
  })
  void fastBytesEnd(String start, String part) throws InterruptedException {
    assertThat(writeUntilClosed(start, part, 0), lessThan(MAX_BYTES));
  }

  @ParameterizedTest
  @ValueSource(strings = {"GET /", "GET / HTTP/1.1\r\nHost: a\r\nX-A: "})
  void slowHeadEnds(String start) throws InterruptedException {
    long bytes = writeUntilClosed(start, "a", SLOW_WRITE_INTERVAL_MS);
    assertThat(bytes, lessThan(MAX_SLOW_MS / SLOW_WRITE_INTERVAL_MS));
  }
}
