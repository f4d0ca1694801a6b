package org.cowslipstair.logic.object;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.cowslipstair.model.config.Requirement;
import org.cowslipstair.model.config.Selector;

/**
 * Text form of selectors: requirements separated by commas, such as {@code app = watch, tier in
 * (gold, silver), zone not in (a), owner, !canary}. The empty text selects everything.
 */
public final class SelectorSyntax {
  private static final String OPERATORS = "'=', '!=', 'in', 'not in', ',' or the end";

  private final String text;
  private int position;

  private SelectorSyntax(String text) {
    this.text = text;
  }

  /** Parses a selector. */
  public static Selector parse(String text) throws InvalidSelectorException {
    return new SelectorSyntax(text).selector();
  }

  /** Formats a selector so that {@link #parse} reads it back. */
  public static String format(Selector selector) {
    return selector.requirements().stream()
        .map(SelectorSyntax::format)
        .collect(Collectors.joining(", "));
  }

  private static String format(Requirement requirement) {
    return switch (requirement) {
      case Requirement.Equal(String key, String value) -> key + " = " + value;
      case Requirement.NotEqual(String key, String value) -> key + " != " + value;
      case Requirement.In(String key, Set<String> values) -> key + " in " + format(values);
      case Requirement.NotIn(String key, Set<String> values) -> key + " not in " + format(values);
      case Requirement.Present(String key) -> key;
      case Requirement.Absent(String key) -> "!" + key;
    };
  }

  private static String format(Set<String> values) {
    return values.stream().sorted().collect(Collectors.joining(", ", "(", ")"));
  }

  private Selector selector() throws InvalidSelectorException {
    List<Requirement> requirements = new ArrayList<>();
    if (atEnd()) {
      return Selector.everything();
    }
    requirements.add(requirement());
    while (!atEnd()) {
      expect(",", OPERATORS);
      requirements.add(requirement());
    }
    return new Selector(requirements);
  }

  private Requirement requirement() throws InvalidSelectorException {
    if (accept("!")) {
      return new Requirement.Absent(key());
    }
    String key = key();
    if (accept("!=")) {
      return new Requirement.NotEqual(key, value());
    }
    if (accept("=")) {
      return new Requirement.Equal(key, value());
    }
    if (acceptWord("in")) {
      return new Requirement.In(key, values());
    }
    if (acceptWord("not")) {
      if (!acceptWord("in")) {
        throw wrong(position, "'in' after 'not'");
      }
      return new Requirement.NotIn(key, values());
    }
    return new Requirement.Present(key);
  }

  private Set<String> values() throws InvalidSelectorException {
    Set<String> values = new TreeSet<>();
    expect("(", "'(' before the values");
    values.add(value());
    while (!accept(")")) {
      expect(",", "',' or ')' after a value");
      values.add(value());
    }
    return values;
  }

  private String key() throws InvalidSelectorException {
    skipSpace();
    int start = position;
    String word = word();
    if (!LabelSyntax.isKey(word)) {
      throw wrong(start, "a label key: " + LabelSyntax.ACCEPTED_KEY);
    }
    return word;
  }

  private String value() throws InvalidSelectorException {
    skipSpace();
    int start = position;
    String word = word();
    if (!LabelSyntax.isValue(word)) {
      throw wrong(start, "a label value: " + LabelSyntax.ACCEPTED_VALUE);
    }
    return word;
  }

  private String word() {
    int start = position;
    while (position < text.length() && isWordPart(text.charAt(position))) {
      position++;
    }
    return text.substring(start, position);
  }

  private static boolean isWordPart(char c) {
    return Character.isLetterOrDigit(c) || c == '.' || c == '_' || c == '-' || c == '/';
  }

  private boolean acceptWord(String wanted) {
    skipSpace();
    int start = position;
    if (word().equals(wanted)) {
      return true;
    }
    position = start;
    return false;
  }

  private boolean accept(String token) {
    skipSpace();
    if (!text.startsWith(token, position)) {
      return false;
    }
    position += token.length();
    return true;
  }

  private void expect(String token, String accepted) throws InvalidSelectorException {
    if (!accept(token)) {
      throw wrong(position, accepted);
    }
  }

  private boolean atEnd() {
    skipSpace();
    return position == text.length();
  }

  private void skipSpace() {
    while (position < text.length() && Character.isWhitespace(text.charAt(position))) {
      position++;
    }
  }

  private InvalidSelectorException wrong(int at, String accepted) {
    return new InvalidSelectorException(text, at + 1, accepted);
  }
}
