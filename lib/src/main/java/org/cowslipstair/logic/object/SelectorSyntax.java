package org.cowslipstair.logic.object;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.cowslipstair.model.config.Requirement;
import org.cowslipstair.model.config.Selector;

/**
 * Parser and formatter for selectors in text form: requirements separated by commas, such as {@code
 * app = watch, tier in (gold, silver), zone not in (a), owner, !canary}. An empty text selects
 * everything.
 */
public final class SelectorSyntax {
  private static final String ACCEPTED_AFTER_KEY = "'=', '!=', 'in', 'not in', ',' or the end";

  private final String text;
  private int position;

  private SelectorSyntax(String text) {
    this.text = text;
  }

  /** Parses a selector; whitespace between tokens is ignored. */
  public static Selector parse(String text) throws InvalidSelectorException {
    return new SelectorSyntax(text).parseSelector();
  }

  /** Formats a selector; {@link #parse} of the result returns an equal selector. */
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

  private Selector parseSelector() throws InvalidSelectorException {
    List<Requirement> requirements = new ArrayList<>();
    if (isAtEnd()) {
      return Selector.everything();
    }
    requirements.add(parseRequirement());
    while (!isAtEnd()) {
      expect(",", ACCEPTED_AFTER_KEY);
      requirements.add(parseRequirement());
    }
    return new Selector(requirements);
  }

  private Requirement parseRequirement() throws InvalidSelectorException {
    if (consume("!")) {
      return new Requirement.Absent(parseKey());
    }
    String key = parseKey();
    if (consume("!=")) {
      return new Requirement.NotEqual(key, parseValue());
    }
    if (consume("=")) {
      return new Requirement.Equal(key, parseValue());
    }
    if (consumeWord("in")) {
      return new Requirement.In(key, parseValues());
    }
    if (consumeWord("not")) {
      if (!consumeWord("in")) {
        throw syntaxError(position, "'in' after 'not'");
      }
      return new Requirement.NotIn(key, parseValues());
    }
    return new Requirement.Present(key);
  }

  private Set<String> parseValues() throws InvalidSelectorException {
    Set<String> values = new TreeSet<>();
    expect("(", "'(' before the values");
    values.add(parseValue());
    while (!consume(")")) {
      expect(",", "',' or ')' after a value");
      values.add(parseValue());
    }
    return values;
  }

  private String parseKey() throws InvalidSelectorException {
    skipWhitespace();
    int start = position;
    String word = readWord();
    if (!LabelSyntax.isKey(word)) {
      throw syntaxError(start, "a label key: " + LabelSyntax.ACCEPTED_KEY);
    }
    return word;
  }

  private String parseValue() throws InvalidSelectorException {
    skipWhitespace();
    int start = position;
    String word = readWord();
    if (!LabelSyntax.isValue(word)) {
      throw syntaxError(start, "a label value: " + LabelSyntax.ACCEPTED_VALUE);
    }
    return word;
  }

  private String readWord() {
    int start = position;
    while (position < text.length() && isWordChar(text.charAt(position))) {
      position++;
    }
    return text.substring(start, position);
  }

  private static boolean isWordChar(char c) {
    return Character.isLetterOrDigit(c) || c == '.' || c == '_' || c == '-' || c == '/';
  }

  private boolean consumeWord(String expected) {
    skipWhitespace();
    int start = position;
    if (readWord().equals(expected)) {
      return true;
    }
    position = start;
    return false;
  }

  private boolean consume(String token) {
    skipWhitespace();
    if (!text.startsWith(token, position)) {
      return false;
    }
    position += token.length();
    return true;
  }

  private void expect(String token, String accepted) throws InvalidSelectorException {
    if (!consume(token)) {
      throw syntaxError(position, accepted);
    }
  }

  private boolean isAtEnd() {
    skipWhitespace();
    return position == text.length();
  }

  private void skipWhitespace() {
    while (position < text.length() && Character.isWhitespace(text.charAt(position))) {
      position++;
    }
  }

  private InvalidSelectorException syntaxError(int errorPosition, String accepted) {
    return new InvalidSelectorException(text, errorPosition + 1, accepted);
  }
}
