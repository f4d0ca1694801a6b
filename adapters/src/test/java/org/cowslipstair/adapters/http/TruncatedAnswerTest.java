package org.cowslipstair.adapters.http;

import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.util.List;
import org.cowslipstair.model.call.HeaderField;
import org.cowslipstair.port.BackendException;
import org.cowslipstair.port.BackendTransport.BackendRequest;
import org.cowslipstair.port.BackendTransport.BackendRequestBody;
import org.cowslipstair.port.BackendTransport.BackendResponse;
import org.cowslipstair.port.MonotonicClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Reported by operators: a head that ended midway became an answer with an empty body. */
final class TruncatedAnswerTest {
  private static final long SECOND_NS = 1_000_000_000L;
  private final OkHttpBackendTransport transport =
      new OkHttpBackendTransport(BackendLimits.defaults(), _ -> 2, MonotonicClock.system());

  @AfterEach
  void closeTransport() {
    transport.close();
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 200 OK\r\nX-A: b\r\nContent-Length: 10\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 10\r\nX-A: b\r\n\r\n",
        "HTTP/1.1 200 OK\r\nX-A: b\r\nTransfer-Encoding: chunked\r\n\r\n",
        "HTTP/1.1 103 Early\r\nX-A: b\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nX-A: b\r\n\r\n",
        "HTTP/1.1 204 No Content\r\nX-A: b\r\n\r\n",
        "HTTP/1.1 503 Busy\r\nBackend-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
      })
  void headCutAtAnyByteIsALostConnection(String head) throws Exception {
    for (int length = 0; length < head.length(); length++) {
      String part = head.substring(0, length);
      try (RawBackend backend = new RawBackend(link -> writeAndClose(link, part))) {
        assertThrows(
            BackendException.ConnectionLost.class,
            () -> {
              try (BackendResponse _ = transport.send(backend.server(), post())) {
                throw new AssertionError("an answer from: " + part);
              }
            });
      }
    }
  }

  private static void writeAndClose(RawBackend.Link link, String part) throws IOException {
    link.read();
    link.write(part);
    link.socket.close();
  }

  private static BackendRequest post() {
    return new BackendRequest(
        "POST",
        "/x",
        List.of(new HeaderField("X-Request-Id", "r")),
        new BackendRequestBody.None(),
        System.nanoTime() + 20 * SECOND_NS);
  }
}
