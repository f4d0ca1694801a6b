package org.cowslipstair.adapters.settings;

import java.util.HashMap;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Finds the line on which a key of a TOML text is set, since the parser reports none. Paths are
 * written like {@code zone[0].labels.state}.
 */
final class TomlLines {
  private static final Pattern LIST_HEADER = Pattern.compile("\\[\\[\\s*([^]]+?)\\s*]].*");
  private static final Pattern TABLE_HEADER = Pattern.compile("\\[\\s*([^]]+?)\\s*].*");
  private static final Pattern KEY_VALUE = Pattern.compile("([^=#]+?)\\s*=(.*)");

  private final Map<String, Integer> lines = new HashMap<>();
  private final Map<String, Integer> listLengths = new HashMap<>();
  private String table = "";
  private int openBrackets;
  private String openQuotes = "";

  TomlLines(String text) {
    int line = 0;
    for (String content : text.split("\n", -1)) {
      line++;
      take(content.strip(), line);
    }
  }

  /** Returns the line of a path, or of the nearest table around it. */
  int lineOf(String path) {
    String wanted = path;
    while (!lines.containsKey(wanted)) {
      int end = Math.max(wanted.lastIndexOf('.'), wanted.lastIndexOf('['));
      if (end <= 0) {
        return 1;
      }
      wanted = wanted.substring(0, end);
    }
    return lines.get(wanted);
  }

  private void take(String content, int line) {
    if (openBrackets > 0 || !openQuotes.isEmpty()) {
      scanValue(content);
      return;
    }
    Matcher listHeader = LIST_HEADER.matcher(content);
    if (listHeader.matches()) {
      String list = resolve(listHeader.group(1));
      lines.putIfAbsent(list, line);
      int index = listLengths.merge(list, 1, Integer::sum) - 1;
      table = list + "[" + index + "]";
      lines.put(table, line);
      return;
    }
    Matcher tableHeader = TABLE_HEADER.matcher(content);
    if (tableHeader.matches()) {
      table = resolve(tableHeader.group(1));
      lines.put(table, line);
      return;
    }
    Matcher keyValue = KEY_VALUE.matcher(content);
    if (keyValue.matches()) {
      String key = keyValue.group(1).replace("\"", "").replace("'", "").replace(" ", "");
      lines.putIfAbsent(table.isEmpty() ? key : table + "." + key, line);
      scanValue(keyValue.group(2));
    }
  }

  /** Returns the path of a header, with the last index of each list of tables in it. */
  private String resolve(String header) {
    StringBuilder path = new StringBuilder();
    String[] parts = header.replace("\"", "").replace("'", "").split("\\s*\\.\\s*");
    for (int i = 0; i < parts.length; i++) {
      path.append(i == 0 ? "" : ".").append(parts[i]);
      Integer length = listLengths.get(path.toString());
      if (length != null && i < parts.length - 1) {
        path.append('[').append(length - 1).append(']');
      }
    }
    return path.toString();
  }

  /** Follows brackets and quotes, so that lines inside a value are not taken for keys. */
  private void scanValue(String content) {
    int i = 0;
    while (i < content.length()) {
      i += openQuotes.isEmpty() ? scanPlain(content, i) : scanQuoted(content, i);
    }
    if (openQuotes.length() == 1) {
      openQuotes = "";
    }
  }

  private int scanPlain(String content, int i) {
    char c = content.charAt(i);
    if (c == '#') {
      return content.length() - i;
    }
    if (c == '"' || c == '\'') {
      String triple = String.valueOf(c).repeat(3);
      openQuotes = content.startsWith(triple, i) ? triple : String.valueOf(c);
      return openQuotes.length();
    }
    if (c == '[' || c == '{') {
      openBrackets++;
    } else if (c == ']' || c == '}') {
      openBrackets--;
    }
    return 1;
  }

  private int scanQuoted(String content, int i) {
    if (content.charAt(i) == '\\' && openQuotes.startsWith("\"")) {
      return 2;
    }
    if (!content.startsWith(openQuotes, i)) {
      return 1;
    }
    int length = openQuotes.length();
    openQuotes = "";
    return length;
  }
}
