package org.cowslipstair.edge.backend;

import java.util.Optional;
import org.cowslipstair.model.traffic.LoadReport;
import org.jspecify.annotations.Nullable;

/**
 * Parses the load report header: running, waiting and slots, optionally followed by the pace in
 * percent.
 */
final class LoadReportParser {
  private static final int FIELDS_WITHOUT_PACE = 3;
  private static final double PERCENT = 100;

  private LoadReportParser() {}

  /** Parses a header value; returns empty if it is missing or malformed. */
  static Optional<LoadReport> parse(@Nullable String value) {
    if (value == null) {
      return Optional.empty();
    }
    String[] fields = value.split(",");
    if (fields.length < FIELDS_WITHOUT_PACE) {
      return Optional.empty();
    }
    try {
      int running = Integer.parseInt(fields[0].trim());
      int waiting = Integer.parseInt(fields[1].trim());
      int slots = Integer.parseInt(fields[2].trim());
      double slowdownFactor =
          fields.length == FIELDS_WITHOUT_PACE
              ? 1
              : Double.parseDouble(fields[FIELDS_WITHOUT_PACE].trim()) / PERCENT;
      boolean isValid = running >= 0 && waiting >= 0 && slots > 0 && slowdownFactor > 0;
      return isValid
          ? Optional.of(new LoadReport(running, waiting, slots, slowdownFactor))
          : Optional.empty();
    } catch (NumberFormatException ignored) {
      return Optional.empty();
    }
  }
}
