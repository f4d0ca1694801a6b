package org.cowslipstair.adapters.http;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.InputStream;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.cowslipstair.model.config.BackendServer;
import org.cowslipstair.port.BackendException;
import org.cowslipstair.port.BackendProbe;
import org.cowslipstair.port.BackendTransport;
import org.cowslipstair.port.BackendTransport.BackendRequest;
import org.cowslipstair.port.BackendTransport.BackendRequestBody;
import org.cowslipstair.port.BackendTransport.BackendResponse;
import org.cowslipstair.port.MonotonicClock;

/** Reads the load endpoint of backend servers, which carries their health too. */
public final class OkHttpBackendProbe implements BackendProbe {
  private static final String LOAD_TARGET = "/-/load";
  private static final int OK = 200;
  private static final int MAX_REPORT_BYTES = 16 * 1024;
  private static final long NS_PER_MS = 1_000_000;
  private static final long NS_PER_MICRO = 1_000;
  private static final ObjectMapper JSON = new ObjectMapper();
  private final BackendTransport transport;
  private final MonotonicClock clock;

  /** Creates a probe that shares the connections of a transport. */
  public OkHttpBackendProbe(BackendTransport transport, MonotonicClock clock) {
    this.transport = transport;
    this.clock = clock;
  }

  @Override
  public Optional<ProbeReport> probe(BackendServer backend, long timeoutMs) {
    long deadlineNs = clock.nowNs() + timeoutMs * NS_PER_MS;
    BackendRequest call =
        new BackendRequest(
            "GET", LOAD_TARGET, List.of(), new BackendRequestBody.None(), deadlineNs);
    try (BackendResponse answer = transport.send(backend, call)) {
      return answer.status() == OK ? parse(answer.body()) : Optional.empty();
    } catch (BackendException | IOException _) {
      return Optional.empty();
    } catch (InterruptedException _) {
      Thread.currentThread().interrupt();
      return Optional.empty();
    }
  }

  private static Optional<ProbeReport> parse(InputStream body) throws IOException {
    byte[] bytes = body.readNBytes(MAX_REPORT_BYTES);
    if (body.read() >= 0) {
      return Optional.empty();
    }
    JsonNode report = JSON.readTree(bytes);
    Optional<Health> health = health(report.path("health").asText());
    if (health.isEmpty() || !report.path("inFlight").isInt() || !report.path("slots").isInt()) {
      return Optional.empty();
    }
    return Optional.of(
        new ProbeReport(
            health.get(),
            Math.max(0, report.path("inFlight").intValue()),
            Math.max(0, report.path("slots").intValue()),
            Math.max(0, report.path("latencyMicros").asLong()) * NS_PER_MICRO));
  }

  private static Optional<Health> health(String text) {
    for (Health health : Health.values()) {
      if (health.name().toLowerCase(Locale.ROOT).equals(text)) {
        return Optional.of(health);
      }
    }
    return Optional.empty();
  }
}
