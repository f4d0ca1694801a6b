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
 * Checks that the logs of gateways name the cause of every refused or failed request. Lines without
 * valid JSON are skipped; a prefix before the JSON is allowed.
 */
final class LogAudit {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int FIRST_FAILURE_STATUS = 300;
  private static final String ENDED = "exchange: ended";
  private static final String ANSWER = "exchange: answer";

  /** Outcomes that need no further explanation. */
  private static final Set<String> SELF_EXPLANATORY =
      Set.of(
          "bad_request",
          "caller_gone",
          "deadline_passed",
          "deadline_too_close",
          "no_configuration",
          "no_route",
          "stopping");

  /** Outcomes explained by the state of backend servers in a non-empty field {@code detail}. */
  private static final Set<String> EXPLAINED_BY_DETAIL =
      Set.of("no_free_slot", "no_backend", "backend_unreachable");

  /** Ids of the requests with a log line for the result of a send. */
  private final Set<String> idsWithSendResult = new HashSet<>();

  private final List<String> unexplained = new ArrayList<>();
  private int failedCount;

  /** Adds the lines of one log, in order. */
  void addLog(Stream<String> log) {
    log.filter(text -> text.contains("exchange: ")).forEach(this::addLine);
  }

  private void addLine(String text) {
    int start = text.indexOf('{');
    if (start < 0) {
      return;
    }
    try {
      JsonNode line = JSON.readTree(text.substring(start));
      JsonNode context = line.path("mdc");
      String id = context.path("id").asText();
      switch (line.path("formattedMessage").asText()) {
        case ANSWER -> idsWithSendResult.add(id);
        case ENDED -> recordEnd(id, context);
        default -> {
          // Other lines do not affect the audit.
        }
      }
    } catch (JsonProcessingException ignored) {
      // Truncated lines are skipped.
    }
  }

  private void recordEnd(String id, JsonNode context) {
    String outcome = context.path("outcome").asText();
    boolean isFailure =
        context.path("status").asInt() >= FIRST_FAILURE_STATUS || outcome.equals("broken");
    boolean hasSendResult = idsWithSendResult.remove(id);
    if (!isFailure) {
      return;
    }
    failedCount++;
    boolean isExplained =
        SELF_EXPLANATORY.contains(outcome)
            || EXPLAINED_BY_DETAIL.contains(outcome) && !context.path("detail").asText().isEmpty()
            || hasSendResult;
    if (!isExplained) {
      unexplained.add(id + " " + outcome + " " + context.path("gateway").asText());
    }
  }

  /** Returns the number of refused or failed requests. */
  int failedCount() {
    return failedCount;
  }

  /** Returns the id, outcome and gateway of each request whose cause the logs do not name. */
  List<String> unexplained() {
    return List.copyOf(unexplained);
  }
}
