package org.cowslipstair.soak.net;

import java.util.Locale;
import java.util.Map;

/**
 * A request as a server read it.
 *
 * @param headers header values by lower-case name
 */
public record HttpRequest(String method, String target, Map<String, String> headers, byte[] body) {
  /** Returns the value of a header, or an empty string if it is missing. Ignores case. */
  public String header(String name) {
    return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
  }
}
