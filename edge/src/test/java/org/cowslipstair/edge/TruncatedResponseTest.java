package org.cowslipstair.edge;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.net.Socket;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * A backend server stops in the middle of its response and closes. The caller gets a failure that
 * promises nothing, never a response that looks whole.
 */
@Timeout(60)
final class TruncatedResponseTest {
  private static final int BAD_GATEWAY = 502;
  private static final String SIGNED = "X-Id: cut\r\nX-Proof: p\r\n";
  private final GatewayFixture fixture;
  private final RawClient client;

  TruncatedResponseTest() throws IOException, InterruptedException {
    fixture = new GatewayFixture(1);
    client = fixture.client();
  }

  @AfterEach
  void close() throws IOException {
    client.close();
    fixture.close();
    assertThat(fixture.violations, empty());
  }

  /** A complete response, and the length from which it is whole. */
  private enum Shape {
    LENGTH_LAST("HTTP/1.1 200 OK\r\n" + SIGNED + "Content-Length: 10\r\n\r\n0123456789"),
    LENGTH_OF_TWO_DIGITS_FIRST(
        "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n" + SIGNED + "\r\n0123456789"),
    CHUNKED_WITH_TRAILERS(
        "HTTP/1.1 200 OK\r\n"
            + SIGNED
            + "Transfer-Encoding: chunked\r\n\r\n5\r\n01234\r\n0\r\nX-T: 1\r\n\r\n"),
    AFTER_INFORMATIONAL(
        "HTTP/1.1 103 Early\r\nX-Id: cut\r\n\r\nHTTP/1.1 200 OK\r\n"
            + SIGNED
            + "Content-Length: 2\r\n\r\nok"),
    EMPTY_BODY("HTTP/1.1 200 OK\r\n" + SIGNED + "Content-Length: 0\r\n\r\n"),
    UNFRAMED_HEAD("HTTP/1.1 200 OK\r\n" + SIGNED + "\r\n"),
    REFUSAL("HTTP/1.1 503 X\r\nX-Id: cut\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"),
    MISDIRECTED("HTTP/1.1 421 X\r\nX-Id: cut\r\nContent-Length: 0\r\n\r\n"),
    FAILURE("HTTP/1.1 404 X\r\n" + SIGNED + "Content-Length: 2\r\n\r\nno");

    private final String bytes;

    Shape(String bytes) {
      this.bytes = bytes;
    }
  }

  /** Reported by operators: a head that ended midway became a 200 with an empty body. */
  @ParameterizedTest
  @CsvSource({
    "LENGTH_LAST, false",
    "LENGTH_LAST, true",
    "LENGTH_OF_TWO_DIGITS_FIRST, false",
    "CHUNKED_WITH_TRAILERS, false",
    "CHUNKED_WITH_TRAILERS, true",
    "AFTER_INFORMATIONAL, false",
    "EMPTY_BODY, false",
    "UNFRAMED_HEAD, false",
    "UNFRAMED_HEAD, true",
    "REFUSAL, false",
    "REFUSAL, true",
    "MISDIRECTED, false",
    "FAILURE, false"
  })
  void responseCutAtAnyByteIsAFailure(Shape shape, boolean isReset) throws IOException {
    for (int length = 0; length < shape.bytes.length(); length++) {
      String part = shape.bytes.substring(0, length);
      fixture.backend().receivedRequests.clear();
      fixture
          .backend()
          .script(
              (request, socket) -> {
                ScriptedBackend.write(socket, part);
                end(socket, isReset);
              });
      RawClient.Response response = client.send(RawClient.post("/unsafe/x", "cut", "pay"));
      String where = shape + " cut at byte " + length;
      assertThat(where, response.status(), is(BAD_GATEWAY));
      assertThat(where, response.header("X-Proof"), is(""));
      assertThat(where, fixture.backend().receivedRequests, hasSize(1));
    }
  }

  private static void end(Socket socket, boolean isReset) throws IOException {
    if (isReset) {
      socket.setSoLinger(true, 0);
    }
    socket.close();
  }
}
