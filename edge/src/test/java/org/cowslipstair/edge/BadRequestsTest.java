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

/** Requests that are ambiguous, too large or too slow go nowhere. */
final class BadRequestsTest {
  private final EdgeRig rig;

  BadRequestsTest() throws IOException, InterruptedException {
    rig = new EdgeRig(1);
  }

  @AfterEach
  void close() throws IOException {
    rig.close();
    assertThat(rig.backend().received, empty());
  }

  private int status(String request) throws IOException {
    try (RawClient client = rig.client()) {
      return client.ask(request).status();
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
  void ambiguousFramingIsRefused(String rest) throws IOException {
    String head = "POST /unsafe/x HTTP/1.1\r\nHost: a.example\r\nX-Id: one\r\n";
    assertThat(status(head + rest), is(400));
  }

  @Test
  void otherCodingsAreRefused() throws IOException {
    String head = "POST /unsafe/x HTTP/1.1\r\nHost: a.example\r\nX-Id: one\r\n";
    assertThat(status(head + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n"), is(501));
  }

  @Test
  void unknownRouteIsNotFound() throws IOException {
    assertThat(status(RawClient.get("/nowhere/x", "one")), is(404));
  }

  @Test
  void longHeadIsRefused() throws IOException {
    String long1 = "X-Long: " + "x".repeat(5_000) + "\r\n";
    assertThat(status("GET /safe/x HTTP/1.1\r\nHost: a.example\r\n" + long1 + "\r\n"), is(431));
  }

  @Test
  void longBodyIsRefusedByItsLength() throws IOException {
    String head = "POST /upload/x HTTP/1.1\r\nHost: a.example\r\nX-Id: one\r\n";
    assertThat(status(head + "Content-Length: 2000000\r\n\r\n"), is(413));
  }

  @Test
  void longChunkedBodyIsRefusedWhenItPassesTheBound() throws IOException {
    String head =
        "POST /upload/x HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n";
    String chunk = "10000\r\n" + "x".repeat(0x10000) + "\r\n";
    assertThat(status(head + chunk.repeat(17)), is(413));
  }

  @Test
  void slowHeadIsRefused() throws IOException {
    assertThat(status("GET /safe/x HTTP/1.1\r\nHost: a.exa"), is(408));
  }

  @Test
  void absoluteTargetsAreRefused() throws IOException {
    for (String target : List.of("http://a.example/safe/x", "*", "safe/x")) {
      assertThat(status("GET %s HTTP/1.1\r\nHost: a.example\r\n\r\n".formatted(target)), is(400));
    }
  }
}
