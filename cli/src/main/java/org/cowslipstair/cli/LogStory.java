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
 * Finds the lines about one request in the logs of several gateways and tells them in order of
 * time. Lines that are no JSON are passed over; a prefix before the JSON is allowed.
 */
final class LogStory {
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

  LogStory(String requestId) {
    this.requestId = requestId;
  }

  /** Takes the lines of one log. */
  void read(Stream<String> log) {
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
      StringBuilder told = new StringBuilder(line.path("formattedMessage").asText());
      for (String field : FIELDS) {
        String value = context.path(field).asText();
        if (!value.isEmpty()) {
          told.append(' ').append(field).append('=').append(value);
        }
      }
      return Optional.of(
          new Line(
              line.path("timestamp").asLong(), context.path("gateway").asText(), told.toString()));
    } catch (JsonProcessingException ignored) {
      return Optional.empty();
    }
  }

  /** Returns the story, a line each, with the time since the first line; empty if there is none. */
  List<String> tell() {
    lines.sort(Comparator.comparingLong(Line::timestampMs));
    List<String> story = new ArrayList<>();
    for (Line line : lines) {
      long sinceMs = line.timestampMs() - lines.getFirst().timestampMs();
      story.add("+%d ms  %s  %s".formatted(sinceMs, line.gateway(), line.text()));
    }
    return story;
  }
}
