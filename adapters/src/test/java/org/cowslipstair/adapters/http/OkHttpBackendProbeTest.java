package org.cowslipstair.adapters.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.Optional;
import org.cowslipstair.port.BackendProbe.Health;
import org.cowslipstair.port.BackendProbe.ProbeReport;
import org.cowslipstair.port.MonotonicClock;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class OkHttpBackendProbeTest {
  private static Optional<ProbeReport> probe(RawBackend.Script script, long timeoutMs)
      throws Exception {
    MonotonicClock clock = MonotonicClock.system();
    try (RawBackend backend = new RawBackend(script);
        OkHttpBackendTransport transport =
            new OkHttpBackendTransport(BackendLimits.defaults(), _ -> 2, clock)) {
      return new OkHttpBackendProbe(transport, clock).probe(backend.server(), timeoutMs);
    }
  }

  @Test
  void readsTheLoadEndpoint() throws Exception {
    String json = "{\"health\":\"cold\",\"inFlight\":2,\"slots\":3,\"latencyMicros\":1500}";
    RawBackend.Script script =
        RawBackend.answering(
            r -> r.requestLine().equals("GET /-/load HTTP/1.1") ? RawBackend.ok(json) : "bad");
    assertThat(
        probe(script, 20_000), is(Optional.of(new ProbeReport(Health.COLD, 2, 3, 1_500_000))));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "[]",
        "{",
        "{\"health\":\"fine\",\"inFlight\":2,\"slots\":3}",
        "{\"health\":\"warm\",\"inFlight\":\"2\",\"slots\":3}",
        "{\"health\":\"warm\",\"inFlight\":2}"
      })
  void unreadableReportIsNoReport(String json) throws Exception {
    RawBackend.Script script = RawBackend.answering(r -> RawBackend.ok(json));
    assertThat(probe(script, 20_000), is(Optional.empty()));
  }

  @Test
  void silentOrHugeOrFailingBackendGivesNoReport() throws Exception {
    assertThat(probe(link -> link.discard(), 50), is(Optional.empty()));
    String huge = RawBackend.ok(" ".repeat(20_000) + "{}");
    assertThat(probe(RawBackend.answering(r -> huge), 20_000), is(Optional.empty()));
    String error = "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n";
    assertThat(probe(RawBackend.answering(r -> error), 20_000), is(Optional.empty()));
  }
}
