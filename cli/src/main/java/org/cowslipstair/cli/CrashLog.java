package org.cowslipstair.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Stream;

/**
 * Collects from the logs of gateways under which requests the connections to backend servers ended.
 * Lines without valid JSON are skipped; a prefix before the JSON is allowed.
 */
final class CrashLog {
  private static final ObjectMapper JSON = new ObjectMapper();

  private final Map<String, Request> requests = new HashMap<>();
  private final TreeMap<String, TreeSet<String>> fingerprintsByBackend = new TreeMap<>();

  private static final class Request {
    private final String fingerprint;
    private final TreeSet<String> backends = new TreeSet<>();
    private final TreeSet<String> gateways = new TreeSet<>();
    private final TreeSet<String> ids = new TreeSet<>();
    private long firstMs = Long.MAX_VALUE;
    private long lastMs;

    Request(String fingerprint) {
      this.fingerprint = fingerprint;
    }

    void add(long timestampMs) {
      firstMs = Math.min(firstMs, timestampMs);
      lastMs = Math.max(lastMs, timestampMs);
    }
  }

  /** Adds the lines of one log. */
  void addLog(Stream<String> log) {
    log.filter(text -> text.contains("\"fingerprint\"")).forEach(this::addLine);
  }

  private void addLine(String text) {
    int start = text.indexOf('{');
    if (start < 0) {
      return;
    }
    try {
      JsonNode line = JSON.readTree(text.substring(start));
      if (line.path("formattedMessage").asText().equals("exchange: answer")) {
        addLostConnection(line.path("timestamp").asLong(), line.path("mdc"));
      }
    } catch (JsonProcessingException ignored) {
      // Truncated lines are skipped.
    }
  }

  private void addLostConnection(long timestampMs, JsonNode context) {
    String fingerprint = context.path("fingerprint").asText();
    String backend = context.path("backend").asText();
    Request request = requests.computeIfAbsent(fingerprint, Request::new);
    request.add(timestampMs);
    request.backends.add(backend);
    request.gateways.add(context.path("gateway").asText());
    request.ids.add(context.path("id").asText());
    fingerprintsByBackend.computeIfAbsent(backend, _ -> new TreeSet<>()).add(fingerprint);
  }

  /** Returns a line for each request, those that ended connections of most servers first. */
  List<String> requests() {
    List<String> lines = new ArrayList<>();
    requests.values().stream()
        .sorted(
            Comparator.comparingInt((Request request) -> request.backends.size())
                .reversed()
                .thenComparing(request -> request.fingerprint))
        .forEach(
            request ->
                lines.add(
                    "%s ended connections of %d servers, as %d requests at %d gateways, in %d ms"
                        .formatted(
                            request.fingerprint,
                            request.backends.size(),
                            request.ids.size(),
                            request.gateways.size(),
                            request.lastMs - request.firstMs)));
    return lines;
  }

  /** Returns a line for each backend server with the requests that it had. */
  List<String> backends() {
    return fingerprintsByBackend.entrySet().stream()
        .map(entry -> entry.getKey() + " had " + String.join(" ", entry.getValue()))
        .toList();
  }
}
