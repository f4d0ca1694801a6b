package org.cowslipstair.soak.net;

import java.util.Locale;
import java.util.Map;

/**
 * A response as a caller read it.
 *
 * @param headers header values by lower-case name
 * @param isComplete whether the whole body was received; the body is empty otherwise
 */
public record HttpResponse(
    int status, Map<String, String> headers, byte[] body, boolean isComplete) {
  /** Returns the value of a header, or an empty string if it is missing. Ignores case. */
  public String header(String name) {
    return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
  }
}
