package org.cowslipstair.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * Collects the lines about one request from the logs of several gateways and sorts them by time.
 * Lines without valid JSON are skipped; a prefix before the JSON is allowed.
 */
final class RequestTimeline {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final List<String> FIELDS =
      List.of(
          "cause",
          "backend",
          "load",
          "estimate",
          "deadline_ms",
          "waited_ms",
          "result",
          "outcome",
          "status",
          "route",
          "service",
          "sends",
          "took_ms",
          "detail");

  private final String requestId;
  private final List<Line> lines = new ArrayList<>();

  private record Line(long timestampMs, String gateway, String text) {}

  RequestTimeline(String requestId) {
    this.requestId = requestId;
  }

  /** Adds the lines of one log. */
  void addLog(Stream<String> log) {
    log.filter(text -> text.contains(requestId))
        .map(this::parse)
        .flatMap(Optional::stream)
        .forEach(lines::add);
  }

  private Optional<Line> parse(String text) {
    int start = text.indexOf('{');
    if (start < 0) {
      return Optional.empty();
    }
    try {
      JsonNode line = JSON.readTree(text.substring(start));
      JsonNode context = line.path("mdc");
      if (!context.path("id").asText().equals(requestId)) {
        return Optional.empty();
      }
      StringBuilder description = new StringBuilder(line.path("formattedMessage").asText());
      for (String field : FIELDS) {
        String value = context.path(field).asText();
        if (!value.isEmpty()) {
          description.append(' ').append(field).append('=').append(value);
        }
      }
      return Optional.of(
          new Line(
              line.path("timestamp").asLong(),
              context.path("gateway").asText(),
              description.toString()));
    } catch (JsonProcessingException ignored) {
      return Optional.empty();
    }
  }

  /** Returns one formatted line per log line, with the time since the first one; may be empty. */
  List<String> entries() {
    lines.sort(Comparator.comparingLong(Line::timestampMs));
    List<String> entries = new ArrayList<>();
    for (Line line : lines) {
      long elapsedMs = line.timestampMs() - lines.getFirst().timestampMs();
      entries.add("+%d ms  %s  %s".formatted(elapsedMs, line.gateway(), line.text()));
    }
    return entries;
  }
}
