package org.cowslipstair.adapters.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.cowslipstair.model.call.HeaderField;
import org.cowslipstair.port.BackendException;
import org.cowslipstair.port.BackendTransport.BackendRequest;
import org.cowslipstair.port.BackendTransport.BackendRequestBody;
import org.cowslipstair.port.BackendTransport.BackendResponse;
import org.cowslipstair.port.MonotonicClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A status line that is none is no answer: the call may have run, and nothing is passed on. */
@Timeout(60)
final class OddStatusAnswerTest {
  private static final long SECOND_NS = 1_000_000_000L;
  private static final String LOAD =
      "{\"health\":\"cold\",\"inFlight\":2,\"slots\":3,\"latencyMicros\":1500}";
  private final OkHttpBackendTransport transport =
      new OkHttpBackendTransport(BackendLimits.defaults(), _ -> 2, MonotonicClock.system());

  @AfterEach
  void closeTransport() {
    transport.close();
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 000",
        "HTTP/1.1 001",
        "HTTP/1.1 099",
        "HTTP/1.1 600",
        "HTTP/1.1 999",
        "HTTP/1.1 1000",
        "HTTP/1.1 2000",
        "HTTP/1.1 0200",
        "HTTP/1.1 +200",
        "HTTP/1.1 +20",
        "HTTP/1.1 -20",
        "HTTP/1.1 -00",
        "HTTP/1.1 20",
        "HTTP/1.1 2OO",
        "HTTP/1.1 200X",
        "HTTP/1.1 200.0",
        "HTTP/1.1 OK",
        "HTTP/1.1 ",
        "HTTP/1.1",
        "HTTP/1.1 101",
        "HTTP/2.0 200",
        "HTTP/11.1 200",
        "FTTP/1.1 200",
        "http/1.1 200",
        "ICY 200"
      })
  void statusLineThatIsNoneIsNoAnswer(String statusLine) throws Exception {
    CountDownLatch ended = new CountDownLatch(1);
    String answer = statusLine + " X\r\nContent-Length: 7\r\n\r\nreceipt";
    RawBackend.Script script =
        link -> {
          link.read();
          link.write(answer);
          link.discard();
          ended.countDown();
        };
    try (RawBackend backend = new RawBackend(script)) {
      assertThrows(
          BackendException.ConnectionLost.class,
          () -> {
            try (BackendResponse response = transport.send(backend.server(), post())) {
              throw new AssertionError("an answer with status " + response.status());
            }
          });
      assertThat(ended.await(10, TimeUnit.SECONDS), is(true));
      assertThat(backend.received().size(), is(1));
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {"100", "102", "103", "199"})
  void informationalAnswersAreNotPassedOn(String status) throws Exception {
    String answer = "HTTP/1.1 %s X\r\n\r\n".formatted(status) + RawBackend.ok("receipt");
    try (RawBackend backend = new RawBackend(RawBackend.answering(_ -> answer));
        BackendResponse response = transport.send(backend.server(), post())) {
      assertThat(response.status(), is(200));
      assertThat(new String(response.body().readAllBytes()), is("receipt"));
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {"000", "600", "+20", "0200", "101"})
  void probeTakesNoLoadFromIt(String status) throws Exception {
    String answer = RawBackend.ok(LOAD).replaceFirst("200", status);
    try (RawBackend backend = new RawBackend(RawBackend.answering(_ -> answer))) {
      OkHttpBackendProbe probe = new OkHttpBackendProbe(transport, MonotonicClock.system());
      assertThat(probe.probe(backend.server(), 5_000), is(Optional.empty()));
    }
  }

  private static BackendRequest post() {
    return new BackendRequest(
        "POST",
        "/x",
        List.of(new HeaderField("X-Request-Id", "r")),
        new BackendRequestBody.None(),
        System.nanoTime() + 20 * SECOND_NS);
  }
}
