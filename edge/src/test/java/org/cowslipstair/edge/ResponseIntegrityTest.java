package org.cowslipstair.edge;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.startsWith;

import java.io.IOException;
import java.net.Socket;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Each caller gets the complete response to its own request, or a failure that cannot be mistaken
 * for a complete response.
 */
final class ResponseIntegrityTest {
  private static final int BAD_GATEWAY = 502;
  private final GatewayFixture fixture;
  private final RawClient client;

  ResponseIntegrityTest() throws IOException, InterruptedException {
    fixture = new GatewayFixture(1);
    client = fixture.client();
  }

  @AfterEach
  void close() throws IOException {
    client.close();
    fixture.close();
    assertThat(fixture.violations, empty());
    assertThat(fixture.backend().unexpectedLines, empty());
  }

  private static String ownResponse(ScriptedBackend.ReceivedRequest request, String body) {
    return ScriptedBackend.response(request.requestId(), 200, body);
  }

  @Test
  void statusBodyAndSignatureAreForwarded() throws IOException {
    RawClient.Response response = client.send(RawClient.get("/safe/x?q=1", "one"));
    assertThat(response.status(), is(200));
    assertThat(response.body(), is("hello"));
    assertThat(response.header("X-Proof"), is("proof-of-one"));
    ScriptedBackend.ReceivedRequest receivedRequest = fixture.backend().receivedRequests.getFirst();
    assertThat(receivedRequest.line(), is("GET /safe/x?q=1 HTTP/1.1"));
    assertThat(receivedRequest.header("X-Expect"), is("b-0"));
    assertThat(Integer.parseInt(receivedRequest.header("X-Deadline-Ms")) <= 20_000, is(true));
  }

  @Test
  void responseToAnotherRequestBeforeTheRightOneIsSkipped() throws IOException {
    fixture
        .backend()
        .script(
            (request, socket) ->
                ScriptedBackend.write(
                    socket,
                    ScriptedBackend.response("other", 200, "not yours")
                        + ownResponse(request, "yours")));
    assertThat(client.send(RawClient.get("/safe/x", "one")).body(), is("yours"));
  }

  @Test
  void extraResponseNeverReachesTheNextRequest() throws IOException {
    fixture
        .backend()
        .script(
            (request, socket) ->
                ScriptedBackend.write(
                    socket,
                    ownResponse(request, request.requestId())
                        + ScriptedBackend.response("late", 200, "not yours")));
    for (int i = 0; i < 10; i++) {
      assertThat(client.send(RawClient.get("/safe/x", "id-" + i)).body(), is("id-" + i));
    }
  }

  @Test
  void responseOnlyToAnotherRequestIsAFailure() throws IOException {
    fixture
        .backend()
        .script(
            (request, socket) -> {
              ScriptedBackend.write(socket, ScriptedBackend.response("other", 200, "not yours"));
              socket.close();
            });
    RawClient.Response response = client.send(RawClient.post("/unsafe/x", "one", "pay"));
    assertThat(response.status(), is(BAD_GATEWAY));
    assertThat(response.header("X-Proof"), is(""));
    assertThat(fixture.backend().receivedRequests, hasSize(1));
  }

  @Test
  void responseDelimitedByConnectionCloseIsForwarded() throws IOException {
    fixture
        .backend()
        .script(
            (request, socket) -> {
              ScriptedBackend.write(socket, unframedResponse(request) + "to the end");
              socket.close();
            });
    RawClient.Response response = client.send(RawClient.get("/safe/x", "one"));
    assertThat(response.body(), is("to the end"));
    assertThat(response.complete(), is(true));
  }

  @Test
  void unframedResponseOnAResetConnectionIsIncomplete() throws IOException {
    fixture
        .backend()
        .script(
            (request, socket) -> {
              ScriptedBackend.write(socket, unframedResponse(request) + "to the");
              resetConnection(socket);
            });
    RawClient.Response response = client.send(RawClient.post("/unsafe/x", "one", "pay"));
    assertThat(response.status(), is(BAD_GATEWAY));
  }

  @Test
  void responseTruncatedAtAnyByteIsAFailure() throws IOException {
    String completeResponse = ScriptedBackend.response("cut", 200, "0123456789");
    for (int length = 0; length < completeResponse.length(); length++) {
      String part = completeResponse.substring(0, length);
      fixture
          .backend()
          .script(
              (request, socket) -> {
                ScriptedBackend.write(socket, part);
                socket.close();
              });
      RawClient.Response response = client.send(RawClient.post("/unsafe/x", "cut", "pay"));
      assertThat("cut at byte " + length, response.status(), is(BAD_GATEWAY));
    }
    assertThat(fixture.backend().receivedRequests, hasSize(completeResponse.length()));
  }

  @Test
  void successWithoutSignatureIsAFailure() throws IOException {
    fixture
        .backend()
        .script(
            (request, socket) ->
                ScriptedBackend.write(
                    socket,
                    "HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: 2\r\n\r\nok"
                        .formatted(request.requestId())));
    assertThat(client.send(RawClient.post("/unsafe/x", "one", "pay")).status(), is(BAD_GATEWAY));
  }

  @Test
  void malformedResponseIsAFailure() throws IOException {
    fixture.backend().script((request, socket) -> ScriptedBackend.write(socket, "garbage\r\n\r\n"));
    assertThat(client.send(RawClient.post("/unsafe/x", "one", "pay")).status(), is(BAD_GATEWAY));
  }

  @Test
  void longResponseIsStreamedCompletely() throws IOException {
    String body =
        IntStream.range(0, 60_000).mapToObj(i -> "line-" + i).collect(Collectors.joining());
    fixture.backend().script(ScriptedBackend.Script.ok(body));
    assertThat(client.send(RawClient.get("/safe/x", "one")).body(), is(body));
  }

  @Test
  void truncatedStreamIsVisiblyIncomplete() throws IOException {
    String body = "x".repeat(600_000);
    fixture
        .backend()
        .script(
            (request, socket) -> {
              String completeResponse = ownResponse(request, body);
              ScriptedBackend.write(socket, completeResponse.substring(0, 500_000));
              socket.close();
            });
    assertThat(client.send(RawClient.get("/safe/x", "one")).complete(), is(false));
  }

  @Test
  void earlyResponseToALongBodyLeavesNoUnreadBytesOnTheConnection() throws IOException {
    String body = "b".repeat(360_000);
    ScriptedBackend.EarlyResponseScript earlyResponse =
        (request, socket) -> ScriptedBackend.write(socket, ownResponse(request, "early"));
    fixture.backend().script(earlyResponse);
    assertThat(client.send(RawClient.post("/upload/x", "one", body)).body(), is("early"));
    assertThat(client.send(RawClient.get("/safe/x", "two")).body(), is("early"));
    assertThat(fixture.backend().receivedRequests, hasSize(2));
  }

  @Test
  void pipelinedRequestsGetResponsesInOrder() throws IOException {
    fixture
        .backend()
        .script(
            (request, socket) ->
                ScriptedBackend.write(socket, ownResponse(request, request.requestId())));
    client.write(
        RawClient.get("/safe/a", "one")
            + RawClient.post("/unsafe/b", "two", "body")
            + RawClient.get("/safe/c", "three"));
    assertThat(client.readResponse().body(), is("one"));
    assertThat(client.readResponse().body(), is("two"));
    assertThat(client.readResponse().body(), is("three"));
  }

  @Test
  void chunkedBodyIsForwardedCompletely() throws IOException {
    client.send(
        "POST /unsafe/x HTTP/1.1\r\nHost: a.example\r\nX-Id: one\r\n"
            + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n");
    assertThat(fixture.backend().receivedRequests.getFirst().body(), is("abcdefg"));
  }

  @Test
  void failureStatusIsForwardedWithItsSignature() throws IOException {
    fixture
        .backend()
        .script(
            (request, socket) ->
                ScriptedBackend.write(
                    socket, ScriptedBackend.response(request.requestId(), 500, "broken")));
    RawClient.Response response = client.send(RawClient.post("/unsafe/x", "one", "pay"));
    assertThat(response.status(), is(500));
    assertThat(response.header("X-Proof"), is("proof-of-one"));
    assertThat(fixture.backend().receivedRequests, hasSize(1));
    assertThat(response.header("Connection"), is(not(startsWith("close"))));
  }

  private static String unframedResponse(ScriptedBackend.ReceivedRequest request) {
    return "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Proof: p\r\n\r\n".formatted(request.requestId());
  }

  private static void resetConnection(Socket socket) throws IOException {
    socket.setSoLinger(true, 0);
    socket.close();
  }
}
