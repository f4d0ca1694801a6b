package org.cowslipstair.edge;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.io.IOException;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * A faulty backend server writes an earlier refusal once more on a kept connection. The next
 * request runs, so its caller must not be told that it did not, and it must not run elsewhere.
 */
@Timeout(60)
final class RefusalCopyTest {
  private static final int UNAVAILABLE = 503;
  private final GatewayFixture fixture;
  private final RawClient client;

  RefusalCopyTest() throws IOException, InterruptedException {
    fixture = new GatewayFixture(1);
    client = fixture.client();
  }

  @AfterEach
  void close() throws IOException {
    client.close();
    fixture.close();
    assertThat(fixture.violations, empty());
  }

  private static String refusal(String idLine) {
    return "HTTP/1.1 503 X\r\n%sX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n".formatted(idLine);
  }

  private static String idLine(ScriptedBackend.ReceivedRequest request) {
    return request.requestId().isEmpty() ? "" : "X-Id: " + request.requestId() + "\r\n";
  }

  private static String success(ScriptedBackend.ReceivedRequest request) {
    return "HTTP/1.1 200 X\r\n%sX-Proof: p\r\nContent-Length: 2\r\n\r\nok"
        .formatted(idLine(request));
  }

  /**
   * Sends a request that is refused and then one that runs, with a copy of the refusal before its
   * answer.
   *
   * @param copy the copy
   * @return the response to the second request
   */
  private RawClient.Response sendAfterRefusal(String first, String second, String copy)
      throws IOException {
    fixture
        .backend()
        .script(
            (request, socket) -> {
              boolean isFirst = fixture.backend().receivedRequests.size() == 1;
              String bytes = isFirst ? refusal(idLine(request)) : copy + success(request);
              ScriptedBackend.write(socket, bytes);
            });
    assertThat(client.send(first).status(), is(UNAVAILABLE));
    RawClient.Response response = client.send(second);
    List<ScriptedBackend.ReceivedRequest> received = fixture.backend().receivedRequests;
    assertThat(received, hasSize(2));
    return response;
  }

  private static String withoutId(String request) {
    return request.replaceFirst("X-Id: [^\r]*\r\n", "");
  }

  @Test
  void copyWithTheIdOfTheFirstRequestIsNoAnswerToTheNext() throws IOException {
    RawClient.Response response =
        sendAfterRefusal(
            RawClient.post("/unsafe/x", "one", "pay"),
            RawClient.post("/unsafe/x", "two", "pay"),
            refusal("X-Id: one\r\n"));
    assertThat(response.body(), is("ok"));
  }

  @Test
  void copyWithoutAnIdIsNoAnswerToTheNextRequest() throws IOException {
    RawClient.Response response =
        sendAfterRefusal(
            RawClient.post("/unsafe/x", "one", "pay"),
            RawClient.post("/unsafe/x", "two", "pay"),
            refusal(""));
    assertThat(response.body(), is("ok"));
  }

  @Test
  void copyIsNoProofThatARequestWithTheSameIdDidNotRun() throws IOException {
    RawClient.Response response =
        sendAfterRefusal(
            RawClient.post("/unsafe/x", "one", "pay"),
            RawClient.post("/unsafe/x", "one", "pay"),
            refusal("X-Id: one\r\n"));
    assertThat(response.status(), is(not(UNAVAILABLE)));
  }

  @Test
  void copyIsNoProofThatARequestWithoutAnIdDidNotRun() throws IOException {
    RawClient.Response response =
        sendAfterRefusal(
            RawClient.post("/unsafe/x", "one", "pay"),
            withoutId(RawClient.post("/unsafe/x", "two", "pay")),
            refusal(""));
    assertThat(response.status(), is(not(UNAVAILABLE)));
  }

  @Test
  void copyInTheSameReadIsNoAnswerToTheNextRequest() throws IOException {
    fixture
        .backend()
        .script(
            (request, socket) -> {
              boolean isFirst = fixture.backend().receivedRequests.size() == 1;
              String refusal = refusal(idLine(request));
              ScriptedBackend.write(socket, isFirst ? refusal + refusal : success(request));
            });
    client.write(
        RawClient.post("/unsafe/x", "one", "pay") + RawClient.post("/unsafe/x", "two", "pay"));
    assertThat(client.readResponse().status(), is(UNAVAILABLE));
    assertThat(client.readResponse().body(), is("ok"));
    assertThat(fixture.backend().receivedRequests, hasSize(2));
  }
}
