package org.cowslipstair.edge;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.anyOf;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.startsWith;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Malformed requests of callers and malformed responses of backend servers, close to well-formed
 * ones: each ends in time, and nothing of it reaches other requests.
 */
@Timeout(120)
final class MalformedHttpTest {
  private static final int MESSAGES = 2_000;

  /** Above the time for a head and the idle time of the fixture. */
  private static final int MAX_WAIT_MS = 8_000;

  private static final List<String> REQUESTS =
      List.of(
          RawClient.get("/safe/x?q=1", "r-1"),
          RawClient.post("/unsafe/x", "r-2", "payment"),
          "POST /unsafe/x HTTP/1.1\r\nHost: a.example\r\nX-Id: r-3\r\n"
              + "Transfer-Encoding: chunked\r\n\r\n3;a=b\r\nabc\r\n0\r\nX-T: 1\r\n\r\n",
          RawClient.get("/safe/x", "r-4") + RawClient.get("/safe/y", "r-5"));

  private final GatewayFixture fixture;

  MalformedHttpTest() throws IOException, InterruptedException {
    fixture = new GatewayFixture(2);
  }

  @AfterEach
  void otherRequestsAreStillServed() throws IOException {
    fixture.backends.forEach(backend -> backend.script(ScriptedBackend.Script.ok("fine")));
    try (RawClient client = fixture.client()) {
      assertThat(client.send(RawClient.get("/safe/x", "other")).body(), is("fine"));
    }
    fixture.close();
    assertThat(fixture.violations, empty());
    for (ScriptedBackend backend : fixture.backends) {
      assertThat(backend.unexpectedLines, empty());
    }
  }

  @Test
  void malformedRequestsEndInTime() throws IOException {
    Random random = new Random(2824);
    for (int i = 0; i < MESSAGES; i++) {
      String request = REQUESTS.get(random.nextInt(REQUESTS.size()));
      byte[] bytes = Mutations.mutate(request.getBytes(StandardCharsets.ISO_8859_1), random);
      String response = exchange(bytes);
      assertThat("request " + i, response, anyOf(is(""), startsWith("HTTP/1.1 ")));
    }
  }

  /** Sends bytes, and reads until the gateway closes. */
  private String exchange(byte[] bytes) throws IOException {
    try (Socket socket =
        new Socket(InetAddress.getLoopbackAddress(), fixture.gateway.callerPort())) {
      socket.setSoTimeout(MAX_WAIT_MS);
      socket.getOutputStream().write(bytes);
      socket.shutdownOutput();
      return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
    } catch (SocketTimeoutException e) {
      throw e;
    } catch (SocketException resetByTheGateway) {
      return "";
    }
  }

  @Test
  void malformedResponsesEndTheRequestWithoutASecondSend() throws IOException {
    Random random = new Random(2825);
    try (RawClient client = fixture.client()) {
      for (int i = 0; i < MESSAGES; i++) {
        String id = "m-" + i;
        respondMalformed(id, random);
        RawClient.Response response = client.send(RawClient.post("/unsafe/x", id, "payment"));
        // A changed digit can make any status of it.
        assertThat(id, response.status(), allOf(greaterThanOrEqualTo(200), lessThan(600)));
        assertThat(id, response.complete() || response.status() == 204, is(true));
        int sends = 0;
        for (ScriptedBackend backend : fixture.backends) {
          sends += backend.receivedRequests.size();
          backend.receivedRequests.clear();
        }
        assertThat(id, sends, lessThanOrEqualTo(1));
      }
    }
  }

  /** A caller could not read a response with such a status. */
  @ParameterizedTest
  @ValueSource(strings = {"2", "99", "600", "2000"})
  void numberThatIsNoStatusIsNoResponse(String status) throws IOException {
    for (ScriptedBackend backend : fixture.backends) {
      backend.script(
          (request, socket) ->
              ScriptedBackend.write(
                  socket,
                  ScriptedBackend.response(request.requestId(), 200, "receipt")
                      .replaceFirst("200", status)));
    }
    try (RawClient client = fixture.client()) {
      RawClient.Response response = client.send(RawClient.post("/unsafe/x", "one", "payment"));
      assertThat(response.status(), is(502));
      assertThat(response.header("Cowslipstair-Outcome"), is("may-have-run"));
    }
  }

  private void respondMalformed(String id, Random random) {
    String response =
        random.nextBoolean()
            ? ScriptedBackend.response(id, 200, "receipt")
            : "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Proof: p\r\nTransfer-Encoding: chunked\r\n\r\n"
                    .formatted(id)
                + "3\r\nabc\r\n4;x=y\r\ndefg\r\n0\r\nX-T: 1\r\n\r\n";
    byte[] bytes = Mutations.mutate(response.getBytes(StandardCharsets.ISO_8859_1), random);
    for (ScriptedBackend backend : fixture.backends) {
      backend.script(
          (_, socket) -> {
            socket.getOutputStream().write(bytes);
            socket.close();
          });
    }
  }
}
