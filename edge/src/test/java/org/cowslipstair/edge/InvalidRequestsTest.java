package org.cowslipstair.edge;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Requests that are ambiguous, too large or too slow are rejected and not sent to a backend server.
 */
final class InvalidRequestsTest {
  private final GatewayFixture fixture;

  InvalidRequestsTest() throws IOException, InterruptedException {
    fixture = new GatewayFixture(1);
  }

  @AfterEach
  void close() throws IOException {
    fixture.close();
    assertThat(fixture.backend().receivedRequests, empty());
  }

  private int status(String request) throws IOException {
    try (RawClient client = fixture.client()) {
      return client.send(request).status();
    }
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
        "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "Content-Length: -1\r\n\r\n",
        "Content-Length: 3x\r\n\r\nabc",
        "Host: b.example\r\n\r\n"
      })
  void ambiguousFramingIsRejected(String remainder) throws IOException {
    String head = "POST /unsafe/x HTTP/1.1\r\nHost: a.example\r\nX-Id: one\r\n";
    assertThat(status(head + remainder), is(400));
  }

  @Test
  void unsupportedTransferCodingIsRejected() throws IOException {
    String head = "POST /unsafe/x HTTP/1.1\r\nHost: a.example\r\nX-Id: one\r\n";
    assertThat(status(head + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n"), is(501));
  }

  @Test
  void unknownRouteIsNotFound() throws IOException {
    assertThat(status(RawClient.get("/nowhere/x", "one")), is(404));
  }

  @Test
  void tooLongHeadIsRejected() throws IOException {
    String longHeader = "X-Long: " + "x".repeat(5_000) + "\r\n";
    assertThat(
        status("GET /safe/x HTTP/1.1\r\nHost: a.example\r\n" + longHeader + "\r\n"), is(431));
  }

  @Test
  void tooLargeContentLengthIsRejected() throws IOException {
    String head = "POST /upload/x HTTP/1.1\r\nHost: a.example\r\nX-Id: one\r\n";
    assertThat(status(head + "Content-Length: 2000000\r\n\r\n"), is(413));
  }

  @Test
  void tooLongChunkedBodyIsRejected() throws IOException {
    String head =
        "POST /upload/x HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n";
    String chunk = "10000\r\n" + "x".repeat(0x10000) + "\r\n";
    assertThat(status(head + chunk.repeat(17)), is(413));
  }

  @Test
  void incompleteHeadIsRejectedAfterATimeout() throws IOException {
    assertThat(status("GET /safe/x HTTP/1.1\r\nHost: a.exa"), is(408));
  }

  @Test
  void targetsThatAreNoAbsolutePathAreRejected() throws IOException {
    for (String target : List.of("http://a.example/safe/x", "*", "safe/x")) {
      assertThat(status("GET %s HTTP/1.1\r\nHost: a.example\r\n\r\n".formatted(target)), is(400));
    }
  }
}
