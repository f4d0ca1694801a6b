package org.cowslipstair.logic.call;

import java.util.Optional;
import org.cowslipstair.model.call.HeaderField;
import org.cowslipstair.port.BackendTransport.BackendResponse;

/** Determines the expected body length of a response. */
final class ResponseLength {
  static final long UNKNOWN = -1;
  private static final int NO_CONTENT = 204;
  private static final int NOT_MODIFIED = 304;

  private ResponseLength() {}

  /**
   * Returns the body length in bytes, or {@link #UNKNOWN} if the head does not announce a valid
   * one.
   */
  static long of(String method, BackendResponse response) {
    int status = response.status();
    if (method.equals("HEAD") || status == NO_CONTENT || status == NOT_MODIFIED) {
      return 0;
    }
    return header(response, "Content-Length").map(ResponseLength::parse).orElse(UNKNOWN);
  }

  /** Returns the value of the first header field with the given name, ignoring case. */
  static Optional<String> header(BackendResponse response, String name) {
    for (HeaderField field : response.headers()) {
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
