package org.cowslipstair.adapters.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.hasItems;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.startsWith;

import java.net.Socket;
import java.util.List;
import java.util.Optional;
import org.cowslipstair.adapters.http.RawBackend.Received;
import org.cowslipstair.adapters.http.RawCaller.Answer;
import org.junit.jupiter.api.Test;

final class CallerServerTest {
  @Test
  void passesCallAndAnswerThrough() throws Exception {
    try (RawBackend backend = new RawBackend(RawBackend.answering(r -> RawBackend.ok("moin")));
        Edge edge = new Edge(backend.server())) {
      String request = RawCaller.post("/a%2Fb/c;d=1?x=%20y&z", "r-1", "body");

      Answer answer = RawCaller.call(edge.port(), request);

      assertThat(answer.status(), is(200));
      assertThat(answer.text(), is("moin"));
      assertThat(answer.header("X-Request-Id"), is(Optional.of("r-1")));
      Received received = backend.received().getFirst();
      assertThat(received.requestLine(), is("POST /a%2Fb/c;d=1?x=%20y&z HTTP/1.1"));
      assertThat(new String(received.body()), is("body"));
      assertThat(backend.runs("r-1"), is(1));
    }
  }

  @Test
  void keepsEndToEndHeadersInOrderAndStripsOthers() throws Exception {
    String answerHead =
        "HTTP/1.1 200 OK\r\nSet-Cookie: a=1\r\nSet-Cookie: b=2\r\nConnection: X-Hop\r\nX-Hop: 1\r\n"
            + "Backend-Not-Run: 1\r\nCowslipstair-Outcome: not-run\r\nX-Name: Zoë\r\n"
            + "Retry-After: 0\r\nContent-Length: 0\r\n\r\n";
    try (RawBackend backend = new RawBackend(RawBackend.answering(r -> answerHead));
        Edge edge = new Edge(backend.server())) {
      String request =
          "GET / HTTP/1.1\r\nHost: shop.example:8080\r\nAccept: a\r\nX-D: 1\r\nX-D: 2\r\n"
              + "Connection: close, X-Drop\r\nX-Drop: 1\r\nCowslipstair-Outcome: not-run\r\n"
              + "Keep-Alive: 5\r\nBackend-Not-Run: 1\r\nX-Name: Zo\u00c3\u00ab\r\n\r\n";

      Answer answer = RawCaller.call(edge.port(), request);

      List<String> sent = backend.received().getFirst().headers();
      assertThat(
          sent.subList(0, 5),
          contains(
              "Host: shop.example:8080",
              "Accept: a",
              "X-D: 1",
              "X-D: 2",
              "X-Name: Zo\u00c3\u00ab"));
      assertThat(sent, hasItems("X-Request-Id: made-1", "Via: 1.1 cowslipstair"));
      for (String name :
          List.of(
              "X-Drop",
              "Keep-Alive",
              "Connection",
              "Backend-Not-Run",
              "User-Agent",
              "Accept-Encoding",
              "Cowslipstair-Outcome")) {
        assertThat(sent, not(hasItem(startsWith(name))));
      }
      assertThat(
          answer.headers(), hasItems("Set-Cookie: a=1", "Set-Cookie: b=2", "Retry-After: 0"));
      for (String name : List.of("X-Hop", "Backend-Not-Run", "Cowslipstair", "Content-Type")) {
        assertThat(answer.headers(), not(hasItem(startsWith(name))));
      }
    }
  }

  @Test
  void refusalIsAProblemWithOutcomeAndRetryAfter() throws Exception {
    try (Socket deaf = RawBackend.deafSocket();
        Edge edge = new Edge(RawBackend.serverAt(deaf.getLocalPort()))) {
      Answer answer = RawCaller.call(edge.port(), RawCaller.get("/"));

      assertThat(answer.status(), is(503));
      assertThat(answer.header("Content-Type"), is(Optional.of("application/problem+json")));
      assertThat(answer.header("Cowslipstair-Outcome"), is(Optional.of("not-run")));
      assertThat(answer.header("Retry-After"), is(Optional.of("2")));
      assertThat(answer.header("X-Request-Id"), equalTo(Optional.of("made-1")));
    }
  }
}
