package org.cowslipstair.logic.call;

import java.util.Optional;
import org.cowslipstair.model.call.HeaderField;
import org.cowslipstair.port.BackendTransport.BackendAnswer;

/** Finds out how long the body of an answer must be. */
final class AnswerLength {
  static final long UNKNOWN = -1;
  private static final int NO_CONTENT = 204;
  private static final int NOT_MODIFIED = 304;

  private AnswerLength() {}

  /** Returns the length of the body, or {@link #UNKNOWN}. */
  static long of(String method, BackendAnswer answer) {
    int status = answer.status();
    if (method.equals("HEAD") || status == NO_CONTENT || status == NOT_MODIFIED) {
      return 0;
    }
    return header(answer, "Content-Length").map(AnswerLength::parse).orElse(UNKNOWN);
  }

  /** Finds the first header field of a name. */
  static Optional<String> header(BackendAnswer answer, String name) {
    for (HeaderField field : answer.headers()) {
      if (field.name().equalsIgnoreCase(name)) {
        return Optional.of(field.value());
      }
    }
    return Optional.empty();
  }

  private static long parse(String value) {
    try {
      return Math.max(UNKNOWN, Long.parseLong(value.strip()));
    } catch (NumberFormatException ignored) {
      return UNKNOWN;
    }
  }
}
