package org.cowslipstair.edge;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.io.IOException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Backend servers that say in their responses that they leave, or want nothing for some time. */
@Timeout(60)
final class ServerNoticesTest {
  private static final int MAX_FIRST_REQUESTS = 2_000;
  private static final int REQUESTS = 30;
  private static final int UNAVAILABLE = 503;
  private static final String LEAVING = "X-Leaving: 1\r\n";
  private GatewayFixture fixture;
  private RawClient client;

  private void start(int backends) throws IOException, InterruptedException {
    fixture = new GatewayFixture(backends);
    client = fixture.client();
  }

  @AfterEach
  void close() throws IOException {
    client.close();
    fixture.close();
    assertThat(fixture.violations, empty());
  }

  /** Responds with more header fields. */
  private static ScriptedBackend.Script respond(int status, String fields) {
    return (request, socket) -> {
      String response = ScriptedBackend.response(request.requestId(), status, "body");
      ScriptedBackend.write(socket, response.replaceFirst("\r\n", "\r\n" + fields));
    };
  }

  private RawClient.Response get(String id) throws IOException {
    return client.send(RawClient.get("/safe/x", id));
  }

  private int received(int backend) {
    return fixture.backends.get(backend).receivedRequests.size();
  }

  /** Rule DRAIN: a server whose entry still calls it ready says in its responses that it leaves. */
  @ParameterizedTest
  @CsvSource({"200", "404", "500"})
  void serverThatSaysThatItLeavesGetsNoNewRequests(int status)
      throws IOException, InterruptedException {
    start(2);
    fixture.backends.get(0).script(respond(status, LEAVING));
    for (int i = 0; received(0) == 0; i++) {
      get("first-" + i);
    }
    int before = received(0);
    for (int i = 0; i < REQUESTS; i++) {
      assertThat(get("later-" + i).body(), is("hello"));
    }
    assertThat(received(0), is(before));
  }

  @ParameterizedTest
  @ValueSource(strings = {"healthHeaders", "informational", "copy"})
  void leavingIsReadFromEveryHead(String where) throws IOException, InterruptedException {
    start(2);
    ScriptedBackend leaving = fixture.backends.get(0);
    switch (where) {
      case "healthHeaders" -> leaving.healthHeaders = LEAVING;
      case "informational" ->
          leaving.script(
              (request, socket) -> {
                ScriptedBackend.write(socket, "HTTP/1.1 103 Early\r\n" + LEAVING + "\r\n");
                ScriptedBackend.Script.ok("hello").run(request, socket);
              });
      default ->
          leaving.script(
              (request, socket) -> {
                String copy = ScriptedBackend.response("another", 200, "");
                ScriptedBackend.write(socket, copy.replaceFirst("\r\n", "\r\n" + LEAVING));
                ScriptedBackend.Script.ok("hello").run(request, socket);
              });
    }
    // Quick requests can all go to the other server, so that this one has nothing to say it in.
    for (int i = 0; i < MAX_FIRST_REQUESTS && !saysThatItLeaves(); i++) {
      get("first-" + i);
    }
    for (int i = 0; i < REQUESTS; i++) {
      get("then-" + i);
    }
    assertThat(received(0), lessThanOrEqualTo(1));
    assertThat(saysThatItLeaves(), is(true));
  }

  private boolean saysThatItLeaves() throws IOException {
    return fixture.state(0).path("backends").get(0).path("saysThatItLeaves").asBoolean();
  }

  /** Another instance at the address speaks for itself only. */
  @Test
  void noticeOfAnotherInstanceIsIgnored() throws IOException, InterruptedException {
    start(1);
    fixture.backend().script(respond(200, LEAVING + "X-Instance: other\r\n"));
    get("first");
    assertThat(get("second").status(), is(200));
  }

  /** Rule BUDGET: nothing for as long as the server says; callers learn when it wants more. */
  @Test
  void serverThatWantsNothingGetsNothingUntilItsTimeEnds()
      throws IOException, InterruptedException {
    start(1);
    fixture.backend().script(respond(UNAVAILABLE, "Retry-After: 1.5\r\nX-Not-Run: 1\r\n"));
    get("first");
    fixture.backend().script(ScriptedBackend.Script.ok("hello"));
    int before = received(0);
    long arrivals = fixture.backend().arrivalsNs.size();
    for (int i = 0; i < REQUESTS; i++) {
      RawClient.Response response = get("early-" + i);
      assertThat(response.status(), is(UNAVAILABLE));
      assertThat(response.header("Cowslipstair-Outcome"), is("not-run"));
      assertThat(Double.parseDouble(response.header("Retry-After")), closeTo(1.5, 0.6));
    }
    assertThat(received(0), is(before));
    assertThat("no status checks", (long) fixture.backend().arrivalsNs.size(), is(arrivals));
    TimeUnit.MILLISECONDS.sleep(1_600);
    assertThat(get("late").status(), is(200));
  }

  @Test
  void otherServersTakeTheWork() throws IOException, InterruptedException {
    start(2);
    fixture.backends.get(0).script(respond(UNAVAILABLE, "Retry-After: 30\r\nX-Not-Run: 1\r\n"));
    for (int i = 0; i < REQUESTS; i++) {
      assertThat(get("first-" + i).status(), is(200));
    }
    assertThat(received(0), lessThanOrEqualTo(1));
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "0", "-1", "x", "NaN", "Sun, 06 Nov 1994 08:49:37 GMT"})
  void valueThatIsNoTimeChangesNothing(String value) throws IOException, InterruptedException {
    start(1);
    fixture
        .backend()
        .script(respond(UNAVAILABLE, "Retry-After: " + value + "\r\nX-Not-Run: 1\r\n"));
    get("first");
    fixture.backend().script(ScriptedBackend.Script.ok("hello"));
    assertThat(get("second").status(), is(200));
  }

  @ParameterizedTest
  @ValueSource(strings = {"1e300", "Infinity", "1\r\nRetry-After: 60", "60\r\nRetry-After: 1"})
  void longestPauseCounts(String value) throws IOException, InterruptedException {
    start(1);
    fixture
        .backend()
        .script(respond(UNAVAILABLE, "Retry-After: " + value + "\r\nX-Not-Run: 1\r\n"));
    get("first");
    assertThat(
        fixture.state(0).path("backends").get(0).path("wantsNothingForMs").asInt(),
        greaterThan(30_000));
  }
}
