package org.cowslipstair.soak.net;

import java.util.Locale;
import java.util.Map;

/**
 * A request as a server read it.
 *
 * @param headers values by name in lower case
 */
public record HttpRequest(String method, String target, Map<String, String> headers, byte[] body) {
  /** Returns a header, empty if it is missing. */
  public String header(String name) {
    return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
  }
}
