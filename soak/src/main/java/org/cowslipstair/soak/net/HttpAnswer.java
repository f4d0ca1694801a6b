package org.cowslipstair.soak.net;

import java.util.Locale;
import java.util.Map;

/**
 * An answer as a caller read it.
 *
 * @param headers values by name in lower case
 * @param whole whether the body came to its end
 */
public record HttpAnswer(int status, Map<String, String> headers, byte[] body, boolean whole) {
  /** Returns a header, empty if it is missing. */
  public String header(String name) {
    return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
  }
}
