package org.cowslipstair.edge;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** What runs how often, and what callers are told when it did not, or may have. */
final class OutcomesTest {
  private static final int UNAVAILABLE = 503;
  private final EdgeRig rig;
  private final RawClient client;
  private final CountDownLatch released = new CountDownLatch(1);

  OutcomesTest() throws IOException, InterruptedException {
    rig = new EdgeRig(2);
    client = rig.client();
  }

  @AfterEach
  void close() throws IOException {
    released.countDown();
    client.close();
    rig.close();
    assertThat(rig.violations, empty());
  }

  private void both(ScriptedBackend.Script script) {
    rig.backends.forEach(backend -> backend.script(script));
  }

  private int runs() {
    return rig.backends.stream().mapToInt(backend -> backend.received.size()).sum();
  }

  private void hang(ScriptedBackend.Received request, java.net.Socket socket)
      throws InterruptedException {
    released.await();
  }

  @Test
  void unsafeRequestWhoseConnectionIsLostRunsOnce() throws IOException {
    both((request, socket) -> socket.close());
    RawClient.Answer answer = client.ask(RawClient.post("/unsafe/x", "one", "pay"));
    assertThat(answer.status(), is(502));
    assertThat(answer.field("Cowslipstair-Outcome"), is("may-have-run"));
    assertThat(runs(), is(1));
  }

  @Test
  void safeRequestWhoseConnectionIsLostIsSentElsewhere() throws IOException, InterruptedException {
    earnRetries();
    rig.backends.forEach(backend -> backend.received.clear());
    both(
        (request, socket) -> {
          if (runs() == 1) {
            socket.close();
          } else {
            ScriptedBackend.Script.ok("second").run(request, socket);
          }
        });
    assertThat(client.ask(RawClient.get("/safe/x", "one")).body(), is("second"));
    assertThat(runs(), is(2));
  }

  private void earnRetries() throws IOException {
    for (int i = 0; i < 10; i++) {
      client.ask(RawClient.get("/safe/x", "earn-" + i));
    }
  }

  @Test
  void requestThatWasNotExecutedIsRefusedAsNotRun() throws IOException {
    earnRetries();
    rig.backends.forEach(backend -> backend.received.clear());
    both(
        (request, socket) ->
            ScriptedBackend.write(
                socket,
                "HTTP/1.1 503 X\r\nX-Id: %s\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
                    .formatted(request.requestId())));
    RawClient.Answer answer = client.ask(RawClient.post("/unsafe/x", "one", "pay"));
    assertThat(answer.status(), is(UNAVAILABLE));
    assertThat(answer.field("Cowslipstair-Outcome"), is("not-run"));
    assertThat(answer.field("Retry-After"), is(not("")));
    assertThat(runs(), is(2));
  }

  @Test
  void unavailableWithoutTheMarkPromisesNothing() throws IOException {
    both(
        (request, socket) ->
            ScriptedBackend.write(
                socket, ScriptedBackend.answer(request.requestId(), UNAVAILABLE, "busy")));
    RawClient.Answer answer = client.ask(RawClient.post("/unsafe/x", "one", "pay"));
    assertThat(answer.status(), is(502));
    assertThat(runs(), is(1));
  }

  @Test
  void otherInstanceAtTheAddressMeansNotRun() throws IOException {
    both(
        (request, socket) ->
            ScriptedBackend.write(
                socket,
                "HTTP/1.1 421 X\r\nX-Id: %s\r\nContent-Length: 0\r\n\r\n"
                    .formatted(request.requestId())));
    assertThat(client.ask(RawClient.post("/unsafe/x", "one", "pay")).status(), is(UNAVAILABLE));
  }

  @Test
  void requestWithoutAnAnswerIsEndedAtItsTimeout() throws IOException {
    both(this::hang);
    RawClient.Answer answer = client.ask(RawClient.post("/short/x", "one", "pay"));
    assertThat(answer.status(), is(504));
    assertThat(runs(), is(1));
  }

  @Test
  void callerThatLeavesStopsTheWork() throws IOException, InterruptedException {
    CountDownLatch arrived = new CountDownLatch(1);
    both(
        (request, socket) -> {
          arrived.countDown();
          int next = socket.getInputStream().read();
          assertThat(next, is(-1));
          released.countDown();
        });
    try (RawClient leaving = rig.client()) {
      leaving.write(RawClient.get("/safe/x", "one"));
      assertThat(arrived.await(20, TimeUnit.SECONDS), is(true));
    }
    assertThat(released.await(20, TimeUnit.SECONDS), is(true));
  }

  @Test
  void coldBackendGetsNoMoreThanItsOwnersMaySend() throws IOException {
    rig.backends.forEach(backend -> backend.healthFields = "X-Cold-Ms: 60000\r\n");
    int served = 0;
    for (int i = 0; i < 20; i++) {
      served += client.ask(RawClient.get("/safe/x", "id-" + i)).status() == 200 ? 1 : 0;
    }
    assertThat(runs(), is(served));
    assertThat(served < 20, is(true));
  }

  @Test
  void fullBackendsAreNotSentTo() throws IOException {
    rig.backends.forEach(backend -> backend.load = "3,6,3,100");
    RawClient.Answer answer = client.ask(RawClient.get("/safe/x", "one"));
    assertThat(answer.status(), is(UNAVAILABLE));
    assertThat(runs(), is(0));
  }

  @Test
  void freeBackendIsPreferredToABusyOne() throws IOException {
    rig.backends.getFirst().load = "3,2,3,100";
    for (int i = 0; i < 10; i++) {
      client.ask(RawClient.get("/safe/x", "id-" + i));
    }
    assertThat(rig.backends.getFirst().received, empty());
    assertThat(rig.backends.getLast().received, hasSize(10));
  }

  @Test
  void plannedStopFinishesTheRequestInProgress() throws IOException, InterruptedException {
    CountDownLatch arrived = new CountDownLatch(1);
    both(
        (request, socket) -> {
          arrived.countDown();
          released.await();
          ScriptedBackend.Script.ok("finished").run(request, socket);
        });
    client.write(RawClient.post("/unsafe/x", "one", "pay"));
    assertThat(arrived.await(20, TimeUnit.SECONDS), is(true));
    Thread stopping =
        Thread.ofPlatform()
            .start(
                () -> {
                  try {
                    rig.gateway.stop();
                  } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                  }
                });
    while (rig.gateway.isReady()) {
      Thread.onSpinWait();
    }
    released.countDown();
    RawClient.Answer answer = client.read();
    assertThat(answer.body(), is("finished"));
    assertThat(answer.field("Connection"), is("close"));
    stopping.join();
  }

  @Test
  void freeBackendIsUsedAlthoughItsWorkIsExpectedToTakeLonger() throws IOException {
    rig.backends.forEach(backend -> backend.load = "0,0,3,500");
    String request = RawClient.get("/safe/x", "one").replace("20000", "3000");
    assertThat(client.ask(request).status(), is(200));
  }
}
