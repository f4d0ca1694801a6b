package org.cowslipstair.adapters.http;

import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import org.cowslipstair.model.call.HeaderField;

/** Rules for header fields that an intermediary passes on (RFC 9110, section 7.6). */
final class HeaderRules {
  private static final Set<String> HOP_BY_HOP =
      Set.of(
          "connection",
          "keep-alive",
          "proxy-authenticate",
          "proxy-authorization",
          "proxy-connection",
          "te",
          "transfer-encoding",
          "upgrade");

  /** Fields that frame or route a message; naming them in Connection has no effect. */
  private static final Set<String> NEVER_REMOVED_BY_CONNECTION = Set.of("host", "content-length");

  private static final String INTERNAL_PREFIX = "cowslipstair-";

  private HeaderRules() {}

  /** Returns the fields without those of one connection, in order, duplicates kept. */
  static List<HeaderField> endToEnd(List<HeaderField> fields) {
    Set<String> removed = removedNames(fields);
    List<HeaderField> kept = new ArrayList<>(fields.size());
    for (HeaderField field : fields) {
      if (!removed.contains(lower(field.name()))) {
        kept.add(field);
      }
    }
    return kept;
  }

  private static Set<String> removedNames(List<HeaderField> fields) {
    Set<String> named = HOP_BY_HOP;
    for (HeaderField field : fields) {
      if (!field.name().equalsIgnoreCase("Connection")) {
        continue;
      }
      if (named == HOP_BY_HOP) {
        named = new HashSet<>(HOP_BY_HOP);
      }
      for (String token : field.value().split(",")) {
        named.add(lower(token.strip()));
      }
      named.removeAll(NEVER_REMOVED_BY_CONNECTION);
    }
    return named;
  }

  /** Returns whether a field belongs to this system and never crosses it. */
  static boolean isInternal(String name) {
    return name.regionMatches(true, 0, INTERNAL_PREFIX, 0, INTERNAL_PREFIX.length());
  }

  /** Returns the value of the first field of a name. */
  static Optional<String> first(List<HeaderField> fields, String name) {
    for (HeaderField field : fields) {
      if (field.name().equalsIgnoreCase(name)) {
        return Optional.of(field.value());
      }
    }
    return Optional.empty();
  }

  /** Returns how often a name occurs. */
  static int count(List<HeaderField> fields, String name) {
    int count = 0;
    for (HeaderField field : fields) {
      if (field.name().equalsIgnoreCase(name)) {
        count++;
      }
    }
    return count;
  }

  /** Returns whether a string has bytes above ASCII. */
  static boolean isAscii(String text) {
    for (int i = 0; i < text.length(); i++) {
      if (text.charAt(i) > '~') {
        return false;
      }
    }
    return true;
  }

  /** Turns bytes that were read as Latin-1 into the text that UTF-8 writes as the same bytes. */
  static Optional<String> utf8FromLatin1(String latin1) {
    if (isAscii(latin1)) {
      return Optional.of(latin1);
    }
    try {
      byte[] bytes = latin1.getBytes(StandardCharsets.ISO_8859_1);
      return Optional.of(
          StandardCharsets.UTF_8.newDecoder().decode(java.nio.ByteBuffer.wrap(bytes)).toString());
    } catch (CharacterCodingException ignored) {
      return Optional.empty();
    }
  }

  /** Turns text that was read as UTF-8 into the text that Latin-1 writes as the same bytes. */
  static String latin1FromUtf8(String text) {
    if (isAscii(text)) {
      return text;
    }
    return new String(text.getBytes(StandardCharsets.UTF_8), StandardCharsets.ISO_8859_1);
  }

  private static String lower(String name) {
    return name.toLowerCase(Locale.ROOT);
  }
}
