package org.cowslipstair.adapters.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.startsWith;

import java.io.IOException;
import java.util.Optional;
import org.cowslipstair.adapters.http.RawCaller.Answer;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Sends what must never reach a backend server, byte by byte. */
final class BadInputTest {
  private static RawBackend backend;
  private static Edge edge;

  @BeforeAll
  static void start() throws IOException {
    backend = new RawBackend(RawBackend.answering(r -> RawBackend.ok("reached")));
    edge = new Edge(backend.server());
  }

  @AfterAll
  static void stop() throws IOException {
    edge.close();
    backend.close();
  }

  private static Answer refused(String request) throws IOException {
    int before = backend.received().size();
    try (RawCaller caller = new RawCaller(edge.port())) {
      caller.send(request);
      Answer answer = caller.read(request.startsWith("HEAD"));
      assertThat(answer.status(), allOf(greaterThanOrEqualTo(400), lessThan(506)));
      assertThat(answer.header("Content-Type"), is(Optional.of("application/problem+json")));
      assertThat(answer.header("Cowslipstair-Outcome"), is(Optional.of("not-run")));
      assertThat("connection ends", caller.isAtEnd());
      assertThat(backend.received().size(), is(before));
      return answer;
    }
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "GET / HTTP/1.1\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: a b\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: a/b\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: user@a\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: a:b\r\n\r\n",
        "GET / HTTP/1.1\r\nHost:\r\n\r\n",
        "GET / HTTP/1.1\r\nHost : a\r\n\r\n",
        "GET / HTTP/1.1\r\n Host: a\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: a\r\n folded\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: a\r\nX y: 1\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: a\r\nX: \0\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: a\r\nX: a\rb\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: a\r\nno-colon\r\n\r\n",
        "GET /\0 HTTP/1.1\r\nHost: a\r\n\r\n",
        "GET /a b HTTP/1.1\r\nHost: a\r\n\r\n",
        "GET /\u00e9 HTTP/1.1\r\nHost: a\r\n\r\n",
        "GET /%zz HTTP/1.1\r\nHost: a\r\n\r\n",
        "GET /../x HTTP/1.1\r\nHost: a\r\n\r\n",
        "GET /a/../x HTTP/1.1\r\nHost: a\r\n\r\n",
        "GET /a/%2e%2E/x HTTP/1.1\r\nHost: a\r\n\r\n",
        "GET /a/.;x/b HTTP/1.1\r\nHost: a\r\n\r\n",
        "GET /a\\..\\x HTTP/1.1\r\nHost: a\r\n\r\n",
        "GET /a#b HTTP/1.1\r\nHost: a\r\n\r\n",
        "GET a HTTP/1.1\r\nHost: a\r\n\r\n",
        "GET * HTTP/1.1\r\nHost: a\r\n\r\n",
        "OPTIONS * HTTP/1.1\r\nHost: a\r\n\r\n",
        "GET http://other/x HTTP/1.1\r\nHost: a\r\n\r\n",
        "GET http://u:p@a/x HTTP/1.1\r\nHost: a\r\n\r\n",
        "GET ftp://a/x HTTP/1.1\r\nHost: a\r\n\r\n",
        "CONNECT a:80 HTTP/1.1\r\nHost: a:80\r\n\r\n",
        "CONNECT /x HTTP/1.1\r\nHost: a\r\n\r\n",
        "TRACE / HTTP/1.1\r\nHost: a\r\n\r\n",
        "BREW / HTTP/1.1\r\nHost: a\r\n\r\n",
        "get / HTTP/1.1\r\nHost: a\r\n\r\n",
        "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
        "GET / HTTP/1.0\r\nHost: a\r\n\r\n",
        "GET / HTTP/9.9\r\nHost: a\r\n\r\n",
        "GET /\r\n\r\n",
        "GET / HTTP/1.1 \r\nHost: a\r\n\r\n",
        "\u0016\u0003\u0001\u0002\0\u0001\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: a\r\nExpect: 200-maybe\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: a\r\nRequest-Timeout-Ms: soon\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: a\r\nRequest-Timeout-Ms: 0\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: a\r\nRequest-Timeout-Ms: -5\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: a\r\nX-Request-Id: a b\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: a\r\nX-Bad: \u00ff\u00fe\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nx",
        "HEAD / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nx"
      })
  void badHeadIsRefused(String request) throws Exception {
    refused(request);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n",
        "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
        "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
        "Content-Length: 3, 3\r\n\r\nabc",
        "Content-Length: +3\r\n\r\nabc",
        "Content-Length: -3\r\n\r\nabc",
        "Content-Length: 0x3\r\n\r\nabc",
        "Content-Length: 99999999999999999999\r\n\r\nabc",
        "Content-Length : 3\r\n\r\nabc",
        "Transfer-Encoding: gzip\r\n\r\nabc",
        "Transfer-Encoding: chunked, gzip\r\n\r\n0\r\n\r\n",
        "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n0\r\n\r\n",
        "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
        "Transfer-Encoding: \u000bchunked\r\n\r\n0\r\n\r\n",
        "Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n",
        "Transfer-Encoding: chunked\r\n\r\n-1\r\nabc\r\n0\r\n\r\n",
        "Transfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\nabc\r\n0\r\n\r\n",
        "Transfer-Encoding: chunked\r\n\r\n3\nabc\n0\n\n"
      })
  void badBodyIsRefused(String rest) throws Exception {
    refused("POST / HTTP/1.1\r\nHost: a\r\n" + rest);
  }

  @Test
  void hugeHeadIsRefused() throws Exception {
    String huge = "x".repeat(20_000);
    assertThat(refused("GET /" + huge + " HTTP/1.1\r\nHost: a\r\n\r\n").status(), is(414));
    assertThat(refused("GET / HTTP/1.1\r\nHost: a\r\nX: " + huge + "\r\n\r\n").status(), is(431));
  }

  @Test
  void hugeBodyIsRefusedBeforeItIsRead() throws Exception {
    String head = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9999999999999\r\n\r\n";
    assertThat(refused(head).status(), is(413));
  }

  @ParameterizedTest
  @CsvSource({"BREW,405", "TRACE,405"})
  void refusedMethodNamesThoseAllowed(String method, int status) throws Exception {
    Answer answer = refused(method + " / HTTP/1.1\r\nHost: a\r\n\r\n");
    assertThat(answer.status(), is(status));
    assertThat(answer.header("Allow").orElseThrow(), startsWith("GET"));
  }

  /** The HTTP library skips such bytes; what goes on is framed anew, without them. */
  @Test
  void bytesBetweenAChunkAndItsLineEndAreNotPassedOn() throws Exception {
    String request =
        "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nabGET /hidden\r\n"
            + "0\r\n\r\n";
    assertThat(RawCaller.call(edge.port(), request).status(), is(200));
    RawBackend.Received received = backend.received().getLast();
    assertThat(received.header("Content-Length"), is(Optional.of("2")));
    assertThat(new String(received.body()), is("ab"));
  }

  @Test
  void requestHiddenInABodyIsNotARequest() throws Exception {
    String hidden = RawCaller.get("/hidden");
    Answer answer = RawCaller.call(edge.port(), RawCaller.post("/outer", "s1", hidden));
    assertThat(answer.text(), is("reached"));
    assertThat(
        backend.received().stream().anyMatch(r -> r.requestLine().contains("hidden")), is(false));
  }
}
