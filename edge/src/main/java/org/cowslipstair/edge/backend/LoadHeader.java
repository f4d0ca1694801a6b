package org.cowslipstair.edge.backend;

import java.util.Optional;
import org.cowslipstair.model.traffic.LoadReport;
import org.jspecify.annotations.Nullable;

/** Reads a load report: running, waiting and slots, and after them the pace in percent. */
final class LoadHeader {
  private static final int FIELDS_WITHOUT_PACE = 3;
  private static final double PERCENT = 100;

  private LoadHeader() {}

  /** Parses a header value; empty if it is missing or malformed. */
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
      double pace =
          fields.length == FIELDS_WITHOUT_PACE
              ? 1
              : Double.parseDouble(fields[FIELDS_WITHOUT_PACE].trim()) / PERCENT;
      boolean valid = running >= 0 && waiting >= 0 && slots > 0 && pace > 0;
      return valid ? Optional.of(new LoadReport(running, waiting, slots, pace)) : Optional.empty();
    } catch (NumberFormatException ignored) {
      return Optional.empty();
    }
  }
}
