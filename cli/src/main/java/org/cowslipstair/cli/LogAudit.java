package org.cowslipstair.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;

/**
 * Checks that the logs of gateways name the cause of every refused or failed request. Lines that
 * are no JSON are passed over; a prefix before the JSON is allowed.
 */
final class LogAudit {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int FIRST_FAILURE = 300;
  private static final String ENDED = "exchange: ended";
  private static final String ANSWER = "exchange: answer";

  /** Outcomes that say all there is to say. */
  private static final Set<String> PLAIN =
      Set.of(
          "bad_request",
          "caller_gone",
          "deadline_passed",
          "deadline_too_close",
          "no_configuration",
          "no_route",
          "stopping");

  /** Outcomes that are explained by what was seen of the backend servers. */
  private static final Set<String> SEEN =
      Set.of("no_free_slot", "no_backend", "backend_unreachable");

  /** Requests of which a line says how a send ended. */
  private final Set<String> answered = new HashSet<>();

  private final List<String> unexplained = new ArrayList<>();
  private int failed;

  /** Takes the lines of one log, in order. */
  void read(Stream<String> log) {
    log.filter(text -> text.contains("exchange: ")).forEach(this::take);
  }

  private void take(String text) {
    int start = text.indexOf('{');
    if (start < 0) {
      return;
    }
    try {
      JsonNode line = JSON.readTree(text.substring(start));
      JsonNode context = line.path("mdc");
      String id = context.path("id").asText();
      switch (line.path("formattedMessage").asText()) {
        case ANSWER -> answered.add(id);
        case ENDED -> ended(id, context);
        default -> {
          // Other lines are about no request.
        }
      }
    } catch (JsonProcessingException ignored) {
      // A line that was cut tells nothing.
    }
  }

  private void ended(String id, JsonNode context) {
    String outcome = context.path("outcome").asText();
    boolean isFailure = context.path("status").asInt() >= FIRST_FAILURE || outcome.equals("broken");
    boolean isAnswered = answered.remove(id);
    if (!isFailure) {
      return;
    }
    failed++;
    boolean isExplained =
        PLAIN.contains(outcome)
            || SEEN.contains(outcome) && !context.path("detail").asText().isEmpty()
            || isAnswered;
    if (!isExplained) {
      unexplained.add(id + " " + outcome + " " + context.path("gateway").asText());
    }
  }

  /** Returns the number of refused or failed requests. */
  int failed() {
    return failed;
  }

  /** Returns those whose cause the logs do not name: id, outcome and gateway. */
  List<String> unexplained() {
    return List.copyOf(unexplained);
  }
}
