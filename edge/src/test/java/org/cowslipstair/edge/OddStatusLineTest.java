package org.cowslipstair.edge;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A status line that is none is no response: the request may have run, and nothing is passed on.
 */
@Timeout(60)
final class OddStatusLineTest {
  private static final long MAX_WAIT_SECONDS = 10;
  private static final int REQUESTS = 20;
  private final GatewayFixture fixture;
  private final RawClient client;

  OddStatusLineTest() throws IOException, InterruptedException {
    fixture = new GatewayFixture(1);
    client = fixture.client();
  }

  @AfterEach
  void close() throws IOException {
    client.close();
    fixture.close();
    assertThat(fixture.violations, empty());
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 000 X",
        "HTTP/1.1 001 X",
        "HTTP/1.1 099 X",
        "HTTP/1.1 600 X",
        "HTTP/1.1 999 X",
        "HTTP/1.1 1000 X",
        "HTTP/1.1 2000 X",
        "HTTP/1.1 0200 X",
        "HTTP/1.1 00000200 X",
        "HTTP/1.1 +200 X",
        "HTTP/1.1 -200 X",
        "HTTP/1.1 -0 X",
        "HTTP/1.1 2 X",
        "HTTP/1.1 20 X",
        "HTTP/1.1 2 00 X",
        "HTTP/1.1 2OO X",
        "HTTP/1.1 200X",
        "HTTP/1.1 200.0 X",
        "HTTP/1.1 0xC8 X",
        "HTTP/1.1 OK",
        "HTTP/1.1 ",
        "HTTP/1.1",
        "HTTP/1.1 99999999999 X",
        "HTTP/1.1 +404 X",
        "HTTP/1.1 0503 X",
        "HTTP/1.1 101 X",
        "HTTP/2.0 200 X",
        "HTTP/11.1 200 X",
        "HTTP/1.10 200 X",
        "FTTP/1.1 200 X",
        "http/1.1 200 X",
        "ICY 200 X",
        "200 HTTP/1.1 X"
      })
  void statusLineThatIsNoneIsNoResponse(String statusLine) throws Exception {
    fixture
        .backend()
        .script(
            (request, socket) ->
                ScriptedBackend.write(
                    socket,
                    ScriptedBackend.response(request.requestId(), 200, "receipt")
                        .replaceFirst("HTTP/1.1 200 X", statusLine)));
    RawClient.Response response = client.send(RawClient.post("/unsafe/x", "one", "payment"));
    assertThat(response.status(), is(502));
    assertThat(response.header("X-Proof"), is(""));
    assertThat(response.header("Cowslipstair-Outcome"), is("may-have-run"));
    assertThat(fixture.backend().receivedRequests, hasSize(1));
    boolean isEnded = fixture.backend().connectionClosed.await(MAX_WAIT_SECONDS, TimeUnit.SECONDS);
    assertThat(isEnded, is(true));
  }

  /** RFC 9110 lets a server send these unasked; the final response still comes. */
  @ParameterizedTest
  @ValueSource(strings = {"100", "102", "103", "199"})
  void informationalResponsesAreNotPassedOn(String status) throws IOException {
    fixture
        .backend()
        .script(
            (request, socket) ->
                ScriptedBackend.write(
                    socket,
                    "HTTP/1.1 %s X\r\n\r\n".formatted(status)
                        + ScriptedBackend.response(request.requestId(), 200, "receipt")));
    RawClient.Response response = client.send(RawClient.post("/unsafe/x", "one", "payment"));
    assertThat(response.status(), is(200));
    assertThat(response.body(), is("receipt"));
  }

  /** An upgrade that nobody asked for hands the connection to another protocol. */
  @ParameterizedTest
  @ValueSource(strings = {"", "Upgrade: websocket\r\nConnection: Upgrade\r\n"})
  void switchOfProtocolsIsNoResponse(String headers) throws IOException {
    fixture
        .backend()
        .script(
            (request, socket) ->
                ScriptedBackend.write(
                    socket,
                    "HTTP/1.1 101 X\r\nX-Id: %s\r\n%s\r\n".formatted(request.requestId(), headers)
                        + ScriptedBackend.response(request.requestId(), 200, "receipt")));
    RawClient.Response response = client.send(RawClient.post("/unsafe/x", "one", "payment"));
    assertThat(response.status(), is(502));
    assertThat(response.header("Cowslipstair-Outcome"), is("may-have-run"));
  }

  /** A probe takes neither health nor load from bytes that are no response. */
  @ParameterizedTest
  @ValueSource(strings = {"HTTP/1.1 000 X", "HTTP/1.1 0200 X", "HTTP/1.1 +200 X", "HTTP/2.0 200 X"})
  void probeOfSuchAServerHasNoResponse(String statusLine) throws Exception {
    // Requests gather on one server, whichever that is.
    for (int odd = 0; odd < 2; odd++) {
      try (GatewayFixture two = new GatewayFixture(2);
          RawClient caller = two.client()) {
        two.backends.get(odd).healthStatusLine = statusLine;
        for (int i = 0; i < REQUESTS; i++) {
          assertThat(caller.send(RawClient.get("/safe/x", "id-" + i)).body(), is("hello"));
        }
        assertThat(two.backends.get(odd).receivedRequests, empty());
        assertThat(two.violations, empty());
      }
    }
  }
}
