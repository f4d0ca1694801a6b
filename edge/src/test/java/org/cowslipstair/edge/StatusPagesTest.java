package org.cowslipstair.edge;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.notNullValue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The state dump and the metrics of a gateway. */
final class StatusPagesTest {
  private GatewayFixture fixture;

  @BeforeEach
  void start() throws IOException, InterruptedException {
    fixture = new GatewayFixture(2);
    try (RawClient client = fixture.client()) {
      assertThat(client.send(RawClient.get("/safe/x", "one")).status(), is(200));
    }
  }

  @AfterEach
  void stop() throws IOException {
    fixture.close();
  }

  private String page(String path) throws IOException {
    try (RawClient client = new RawClient(fixture.gateway.readyPort())) {
      return client.send("GET %s HTTP/1.1\r\nHost: g\r\n\r\n".formatted(path)).body();
    }
  }

  @Test
  void stateDumpContainsTheStateInForce() throws IOException {
    JsonNode dump = new ObjectMapper().readTree(page("/state"));
    assertThat(dump.path("name").asText(), is("g"));
    assertThat(dump.path("ready").asBoolean(), is(true));
    assertThat(dump.path("configurationVersion").asLong(), is(1L));
    assertThat(dump.path("revisions").path("backends").asLong(), is(1L));
    assertThat(dump.path("relay").path("watchesStore").asBoolean(), is(true));
    assertThat(dump.path("backends").size(), is(2));
    assertThat(dump.path("backends").path(0).path("takesRequests").asBoolean(), is(true));
  }

  @Test
  void metricsContainBudgetsStoreCallsAndTheStateInForce() throws IOException {
    String metrics = page("/metrics");
    assertThat(metrics, containsString("store_calls_total{collection=\"backends\""));
    assertThat(metrics, containsString("retries_left{service=\"s\"}"));
    assertThat(metrics, containsString("probes_sent"));
    assertThat(metrics, containsString("log_lines_dropped "));
    assertThat(metrics, containsString("configuration_version 1.0"));
  }

  @Test
  void stateDumpShowsTheRateLimitOfABackendServerAndWhatItGotSince() throws IOException {
    for (ScriptedBackend backend : fixture.backends) {
      backend.script(ScriptedBackend.Script.limited(1.5));
    }
    try (RawClient client = fixture.client()) {
      client.send(RawClient.get("/safe/x", "limited"));
    }
    JsonNode limited = null;
    for (JsonNode backend : new ObjectMapper().readTree(page("/state")).path("backends")) {
      limited = backend.has("rateLimitPerSecond") ? backend : limited;
    }
    assertThat(limited, is(notNullValue()));
    assertThat(limited.path("rateLimitPerSecond").asDouble(), is(1.5));
    assertThat(limited.has("requestsWhileLimited"), is(true));
    assertThat(limited.has("probesWhileLimited"), is(true));
    assertThat(page("/metrics"), containsString("backends_limited 1.0"));
  }
}
