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

/** Each caller gets the whole answer to its own request, or a failure that does not look whole. */
final class AnswersTest {
  private static final int BAD_GATEWAY = 502;
  private final EdgeRig rig;
  private final RawClient client;

  AnswersTest() throws IOException, InterruptedException {
    rig = new EdgeRig(1);
    client = rig.client();
  }

  @AfterEach
  void close() throws IOException {
    client.close();
    rig.close();
    assertThat(rig.violations, empty());
    assertThat(rig.backend().strayBytes, empty());
  }

  private static String own(ScriptedBackend.Received request, String body) {
    return ScriptedBackend.answer(request.requestId(), 200, body);
  }

  @Test
  void passesStatusBodyAndProofOn() throws IOException {
    RawClient.Answer answer = client.ask(RawClient.get("/safe/x?q=1", "one"));
    assertThat(answer.status(), is(200));
    assertThat(answer.body(), is("hello"));
    assertThat(answer.field("X-Proof"), is("proof-of-one"));
    ScriptedBackend.Received seen = rig.backend().received.getFirst();
    assertThat(seen.line(), is("GET /safe/x?q=1 HTTP/1.1"));
    assertThat(seen.field("X-Expect"), is("b-0"));
    assertThat(Integer.parseInt(seen.field("X-Deadline-Ms")) <= 20_000, is(true));
  }

  @Test
  void skipsAnAnswerToAnotherRequestBeforeTheRightOne() throws IOException {
    rig.backend()
        .script(
            (request, socket) ->
                ScriptedBackend.write(
                    socket,
                    ScriptedBackend.answer("other", 200, "not yours") + own(request, "yours")));
    assertThat(client.ask(RawClient.get("/safe/x", "one")).body(), is("yours"));
  }

  @Test
  void answerAfterTheRightOneNeverReachesTheNextCaller() throws IOException {
    rig.backend()
        .script(
            (request, socket) ->
                ScriptedBackend.write(
                    socket,
                    own(request, request.requestId())
                        + ScriptedBackend.answer("late", 200, "not yours")));
    for (int i = 0; i < 10; i++) {
      assertThat(client.ask(RawClient.get("/safe/x", "id-" + i)).body(), is("id-" + i));
    }
  }

  @Test
  void onlyAnotherRequestsAnswerIsAFailure() throws IOException {
    rig.backend()
        .script(
            (request, socket) -> {
              ScriptedBackend.write(socket, ScriptedBackend.answer("other", 200, "not yours"));
              socket.close();
            });
    RawClient.Answer answer = client.ask(RawClient.post("/unsafe/x", "one", "pay"));
    assertThat(answer.status(), is(BAD_GATEWAY));
    assertThat(answer.field("X-Proof"), is(""));
    assertThat(rig.backend().received, hasSize(1));
  }

  @Test
  void servesAnAnswerThatEndsWithItsConnection() throws IOException {
    rig.backend()
        .script(
            (request, socket) -> {
              ScriptedBackend.write(socket, unframed(request) + "to the end");
              socket.close();
            });
    RawClient.Answer answer = client.ask(RawClient.get("/safe/x", "one"));
    assertThat(answer.body(), is("to the end"));
    assertThat(answer.complete(), is(true));
  }

  @Test
  void unframedAnswerOfAConnectionThatIsResetIsNotWhole() throws IOException {
    rig.backend()
        .script(
            (request, socket) -> {
              ScriptedBackend.write(socket, unframed(request) + "to the");
              reset(socket);
            });
    RawClient.Answer answer = client.ask(RawClient.post("/unsafe/x", "one", "pay"));
    assertThat(answer.status(), is(BAD_GATEWAY));
  }

  @Test
  void answerCutAtAnyByteNeverLooksWhole() throws IOException {
    String whole = ScriptedBackend.answer("cut", 200, "0123456789");
    for (int length = 0; length < whole.length(); length++) {
      String part = whole.substring(0, length);
      rig.backend()
          .script(
              (request, socket) -> {
                ScriptedBackend.write(socket, part);
                socket.close();
              });
      RawClient.Answer answer = client.ask(RawClient.post("/unsafe/x", "cut", "pay"));
      assertThat("cut at byte " + length, answer.status(), is(BAD_GATEWAY));
    }
    assertThat(rig.backend().received, hasSize(whole.length()));
  }

  @Test
  void successWithoutProofIsAFailure() throws IOException {
    rig.backend()
        .script(
            (request, socket) ->
                ScriptedBackend.write(
                    socket,
                    "HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: 2\r\n\r\nok"
                        .formatted(request.requestId())));
    assertThat(client.ask(RawClient.post("/unsafe/x", "one", "pay")).status(), is(BAD_GATEWAY));
  }

  @Test
  void bytesThatAreNoAnswerAreAFailure() throws IOException {
    rig.backend().script((request, socket) -> ScriptedBackend.write(socket, "garbage\r\n\r\n"));
    assertThat(client.ask(RawClient.post("/unsafe/x", "one", "pay")).status(), is(BAD_GATEWAY));
  }

  @Test
  void longAnswersStreamWhole() throws IOException {
    String body =
        IntStream.range(0, 60_000).mapToObj(i -> "line-" + i).collect(Collectors.joining());
    rig.backend().script(ScriptedBackend.Script.ok(body));
    assertThat(client.ask(RawClient.get("/safe/x", "one")).body(), is(body));
  }

  @Test
  void longAnswerThatBreaksOffDoesNotLookWhole() throws IOException {
    String body = "x".repeat(600_000);
    rig.backend()
        .script(
            (request, socket) -> {
              String whole = own(request, body);
              ScriptedBackend.write(socket, whole.substring(0, 500_000));
              socket.close();
            });
    assertThat(client.ask(RawClient.get("/safe/x", "one")).complete(), is(false));
  }

  @Test
  void earlyAnswerToALongBodyLeavesNoOtherBytesOnItsConnection() throws IOException {
    String body = "b".repeat(360_000);
    ScriptedBackend.LazyScript early =
        (request, socket) -> ScriptedBackend.write(socket, own(request, "early"));
    rig.backend().script(early);
    assertThat(client.ask(RawClient.post("/upload/x", "one", body)).body(), is("early"));
    assertThat(client.ask(RawClient.get("/safe/x", "two")).body(), is("early"));
    assertThat(rig.backend().received, hasSize(2));
  }

  @Test
  void pipelinedRequestsAreAnsweredInOrder() throws IOException {
    rig.backend()
        .script(
            (request, socket) -> ScriptedBackend.write(socket, own(request, request.requestId())));
    client.write(
        RawClient.get("/safe/a", "one")
            + RawClient.post("/unsafe/b", "two", "body")
            + RawClient.get("/safe/c", "three"));
    assertThat(client.read().body(), is("one"));
    assertThat(client.read().body(), is("two"));
    assertThat(client.read().body(), is("three"));
  }

  @Test
  void chunkedBodiesArriveWhole() throws IOException {
    client.ask(
        "POST /unsafe/x HTTP/1.1\r\nHost: a.example\r\nX-Id: one\r\n"
            + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n");
    assertThat(rig.backend().received.getFirst().body(), is("abcdefg"));
  }

  @Test
  void statusOfAFailureComesWithItsProof() throws IOException {
    rig.backend()
        .script(
            (request, socket) ->
                ScriptedBackend.write(
                    socket, ScriptedBackend.answer(request.requestId(), 500, "broken")));
    RawClient.Answer answer = client.ask(RawClient.post("/unsafe/x", "one", "pay"));
    assertThat(answer.status(), is(500));
    assertThat(answer.field("X-Proof"), is("proof-of-one"));
    assertThat(rig.backend().received, hasSize(1));
    assertThat(answer.field("Connection"), is(not(startsWith("close"))));
  }

  private static String unframed(ScriptedBackend.Received request) {
    return "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Proof: p\r\n\r\n".formatted(request.requestId());
  }

  private static void reset(Socket socket) throws IOException {
    socket.setSoLinger(true, 0);
    socket.close();
  }
}
