package org.cowslipstair.cli;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

final class LogAuditTest {
  private final LogAudit audit = new LogAudit();

  private static String line(String message, String id, String fields) {
    return "1.0 g {\"mdc\":{\"id\":\"%s\",\"gateway\":\"g\"%s},\"formattedMessage\":\"exchange: %s\"}"
        .formatted(id, fields, message);
  }

  private static String ended(String id, String outcome, int status, String detail) {
    return line(
        "ended",
        id,
        ",\"outcome\":\"%s\",\"status\":\"%d\",\"detail\":\"%s\""
            .formatted(outcome, status, detail));
  }

  @Test
  void failuresWithACausePass() {
    audit.addLog(
        Stream.of(
            "noise exchange: ended {cut",
            ended("good", "answered", 200, ""),
            ended("full", "no_free_slot", 503, "asked=3"),
            ended("none", "no_route", 404, ""),
            line("answer", "lost", ",\"result\":\"CONNECTION_LOST: reset\""),
            ended("lost", "connection_lost", 502, "")));
    assertThat(audit.failedCount(), is(3));
    assertThat(audit.unexplained(), empty());
  }

  @Test
  void failuresWithoutACauseAreReported() {
    audit.addLog(
        Stream.of(
            ended("full", "no_free_slot", 503, ""),
            line("sent", "lost", ""),
            ended("lost", "connection_lost", 502, "")));
    assertThat(audit.unexplained(), contains("full no_free_slot g", "lost connection_lost g"));
  }
}
