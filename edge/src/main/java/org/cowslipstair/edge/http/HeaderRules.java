package org.cowslipstair.edge.http;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** Selects the header fields that a gateway forwards (RFC 9110, section 7.6.1). */
public final class HeaderRules {
  private static final Set<String> HOP_BY_HOP_HEADERS =
      Set.of(
          "connection",
          "keep-alive",
          "proxy-connection",
          "proxy-authenticate",
          "proxy-authorization",
          "te",
          "trailer",
          "transfer-encoding",
          "upgrade",
          "expect");

  private HeaderRules() {}

  /** Returns a copy of the header fields that do not concern a single connection. */
  public static HttpHeaders endToEnd(HttpHeaders headers) {
    HttpHeaders copy = new DefaultHttpHeaders();
    copyEndToEnd(headers, copy);
    return copy;
  }

  /**
   * Copies the end-to-end header fields: all but the hop-by-hop ones and those named in Connection.
   */
  public static void copyEndToEnd(HttpHeaders from, HttpHeaders to) {
    Set<String> connectionOptions = new HashSet<>();
    for (String value : from.getAll(HttpHeaderNames.CONNECTION)) {
      for (String name : value.split(",")) {
        connectionOptions.add(name.trim().toLowerCase(Locale.ROOT));
      }
    }
    for (Map.Entry<String, String> field : from) {
      String name = field.getKey().toLowerCase(Locale.ROOT);
      if (!HOP_BY_HOP_HEADERS.contains(name) && !connectionOptions.contains(name)) {
        to.add(field.getKey(), field.getValue());
      }
    }
  }
}
