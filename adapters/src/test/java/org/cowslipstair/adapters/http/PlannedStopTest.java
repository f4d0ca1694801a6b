package org.cowslipstair.adapters.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.cowslipstair.adapters.http.RawCaller.Answer;
import org.cowslipstair.logic.stop.PlannedStop;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Reported by operators: calls taken late in a planned stop were cut at its end. */
@Timeout(60)
final class PlannedStopTest {
  private static final long STOP_MS = 3_000;

  private static long afterMs(long delayMs) {
    return System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(delayMs);
  }

  @Test
  void lateCallOnAKeptConnectionIsRefusedAtOnceAsNotRun() throws Exception {
    try (RawBackend backend = new RawBackend(RawBackend.answering(_ -> RawBackend.ok("ok")));
        Edge edge = new Edge(backend.server());
        RawCaller caller = new RawCaller(edge.port())) {
      caller.send(RawCaller.post("/", "early", "x"));
      assertThat(caller.read().status(), is(200));
      edge.plannedStop = Optional.of(new PlannedStop(System.nanoTime(), afterMs(STOP_MS)));
      edge.server.stopAccepting();
      caller.send(RawCaller.post("/", "late", "x"));
      Answer refusal = caller.read();
      assertThat(refusal.status(), is(503));
      assertThat(refusal.header("Connection"), is(Optional.of("close")));
      assertThat(backend.received().size(), is(1));
      assertThat(edge.server.drain(afterMs(STOP_MS)), is(true));
    }
  }
}
