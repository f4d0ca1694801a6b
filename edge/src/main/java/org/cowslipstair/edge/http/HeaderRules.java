package org.cowslipstair.edge.http;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** Which header fields pass through a gateway (RFC 9110, section 7.6.1). */
public final class HeaderRules {
  private static final Set<String> CONNECTION_FIELDS =
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

  /** Copies the fields that concern more than one connection. */
  public static void copyEndToEnd(HttpHeaders from, HttpHeaders to) {
    Set<String> named = new HashSet<>();
    for (String value : from.getAll(HttpHeaderNames.CONNECTION)) {
      for (String name : value.split(",")) {
        named.add(name.trim().toLowerCase(Locale.ROOT));
      }
    }
    for (Map.Entry<String, String> field : from) {
      String name = field.getKey().toLowerCase(Locale.ROOT);
      if (!CONNECTION_FIELDS.contains(name) && !named.contains(name)) {
        to.add(field.getKey(), field.getValue());
      }
    }
  }
}
