package org.cowslipstair.logic.object;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.function.Predicate;
import org.cowslipstair.model.config.HostPort;
import org.cowslipstair.model.config.Labels;
import org.cowslipstair.model.config.ObjectKey;
import org.cowslipstair.model.config.Selector;

/**
 * Reads the fields of a table and collects every fault. A faulty field reads as a valid
 * placeholder, so that reading goes on; {@link #finish} then returns the faults.
 */
public final class FieldReader {
  private static final String ACCEPTED_NAME = "lower-case letters, digits, '.', '_' or '-'";
  private static final String PLACEHOLDER = "invalid";
  private static final String ACCEPTED_ADDRESS = "host:port, port from 0 to 65535";
  private static final HostPort PLACEHOLDER_ADDRESS = new HostPort(PLACEHOLDER, 0);

  private final ObjectNode body;
  private final String prefix;
  private final List<FieldFault> faults;
  private final Set<String> known = new TreeSet<>();
  private final List<FieldReader> tables = new ArrayList<>();

  /** Reads the fields of a table. */
  public FieldReader(ObjectNode body) {
    this(body, "", new ArrayList<>());
  }

  private FieldReader(ObjectNode body, String prefix, List<FieldFault> faults) {
    this.body = body;
    this.prefix = prefix;
    this.faults = faults;
  }

  /** Returns every fault, with fields that were not asked for, those of inner tables included. */
  public List<FieldFault> finish() {
    tables.forEach(FieldReader::finish);
    for (Map.Entry<String, JsonNode> field : body.properties()) {
      if (!known.contains(field.getKey())) {
        String accepted = String.join(", ", known);
        fault(FieldFault.Kind.UNKNOWN_FIELD, field.getKey(), "", accepted);
      }
    }
    return List.copyOf(faults);
  }

  /** Reads an inner table; empty if there is none. */
  public Optional<FieldReader> table(String field) {
    Optional<JsonNode> node = find(field);
    if (node.isEmpty()) {
      return Optional.empty();
    }
    if (!(node.get() instanceof ObjectNode inner)) {
      wrongType(field, node.get(), "a table");
      return Optional.empty();
    }
    FieldReader reader = new FieldReader(inner, prefix + field + ".", faults);
    tables.add(reader);
    return Optional.of(reader);
  }

  /** Reads a list of tables; empty if there is none. */
  public List<FieldReader> tables(String field) {
    Optional<JsonNode> node = find(field);
    if (node.isEmpty()) {
      return List.of();
    }
    List<FieldReader> readers = new ArrayList<>();
    for (int i = 0; i < node.get().size(); i++) {
      if (node.get().get(i) instanceof ObjectNode inner) {
        String innerPrefix = "%s%s[%d].".formatted(prefix, field, i);
        readers.add(new FieldReader(inner, innerPrefix, faults));
      }
    }
    if (!node.get().isArray() || readers.size() != node.get().size()) {
      wrongType(field, node.get(), "a list of tables");
    }
    tables.addAll(readers);
    return readers;
  }

  /** Reads an address. */
  public HostPort address(String field) {
    return parsed(field, ACCEPTED_ADDRESS, PLACEHOLDER_ADDRESS, HostPort::parse);
  }

  /** Reads a list of at least one address. */
  public List<HostPort> addresses(String field) {
    List<HostPort> addresses = new ArrayList<>();
    for (String text : strings(field, word -> HostPort.parse(word).isPresent(), ACCEPTED_ADDRESS)) {
      HostPort.parse(text).ifPresent(addresses::add);
    }
    if (addresses.isEmpty() && body.path(field).isEmpty()) {
      fault(FieldFault.Kind.MISSING, field, "", "a list of " + ACCEPTED_ADDRESS);
    }
    return addresses;
  }

  /** Reads the labels; an absent table is empty. */
  public Labels labels() {
    Optional<JsonNode> node = find("labels");
    if (node.isEmpty()) {
      return Labels.empty();
    }
    if (!node.get().isObject()) {
      wrongType("labels", node.get(), "a table of label keys and values");
      return Labels.empty();
    }
    Map<String, String> values = new TreeMap<>();
    for (Map.Entry<String, JsonNode> entry : node.get().properties()) {
      addLabel(values, entry.getKey(), entry.getValue());
    }
    return new Labels(values);
  }

  private void addLabel(Map<String, String> values, String label, JsonNode value) {
    String path = "labels." + label;
    if (!LabelSyntax.isKey(label)) {
      fault(FieldFault.Kind.NOT_ACCEPTED, path, "", LabelSyntax.ACCEPTED_KEY);
    } else if (!value.isTextual()) {
      wrongType(path, value, "a string of " + LabelSyntax.ACCEPTED_VALUE);
    } else if (!LabelSyntax.isValue(value.asText())) {
      fault(FieldFault.Kind.NOT_ACCEPTED, path, value.asText(), LabelSyntax.ACCEPTED_VALUE);
    } else {
      values.put(label, value.asText());
    }
  }

  /** Reads the name of another object. */
  public <T> T name(String field, Function<String, T> constructor) {
    Optional<String> text = requiredText(field, ACCEPTED_NAME);
    Optional<String> valid = check(field, text, ObjectKey::isValidName, ACCEPTED_NAME);
    return constructor.apply(valid.orElse(PLACEHOLDER));
  }

  /** Reads a string that a parser turns into a value. */
  public <T> T parsed(
      String field, String accepted, T placeholder, Function<String, Optional<T>> parser) {
    Optional<String> text = requiredText(field, accepted);
    if (text.isEmpty()) {
      return placeholder;
    }
    Optional<T> value = parser.apply(text.get());
    if (value.isEmpty()) {
      fault(FieldFault.Kind.NOT_ACCEPTED, field, text.get(), accepted);
    }
    return value.orElse(placeholder);
  }

  /** Reads a string that a parser turns into a value; an absent field has a default. */
  public <T> T parsedOr(
      String field, String accepted, T defaultValue, Function<String, Optional<T>> parser) {
    if (find(field).isEmpty()) {
      return defaultValue;
    }
    return parsed(field, accepted, defaultValue, parser);
  }

  /** Reads a string; empty if the field is absent. */
  public Optional<String> optionalText(String field, Predicate<String> valid, String accepted) {
    return check(field, text(field, accepted), valid, accepted);
  }

  /** Reads a string that must not be shown in faults. */
  public String secret(String field, int minChars) {
    String accepted = "at least %d characters".formatted(minChars);
    Optional<JsonNode> node = find(field);
    if (node.isEmpty()) {
      fault(FieldFault.Kind.MISSING, field, "", accepted);
      return "";
    }
    if (!node.get().isTextual()) {
      fault(FieldFault.Kind.WRONG_TYPE, field, "", "a string of " + accepted);
      return "";
    }
    if (node.get().asText().length() < minChars) {
      fault(FieldFault.Kind.NOT_ACCEPTED, field, "", accepted);
    }
    return node.get().asText();
  }

  /** Reads a selector; an absent one that is not required selects everything. */
  public Selector selector(String field, boolean required) {
    String accepted = "a selector such as \"app = watch, tier in (gold, silver), !canary\"";
    Optional<String> text = required ? requiredText(field, accepted) : text(field, accepted);
    try {
      return SelectorSyntax.parse(text.orElse(""));
    } catch (InvalidSelectorException e) {
      String where = "at column %d: %s".formatted(e.column(), e.accepted());
      fault(FieldFault.Kind.NOT_ACCEPTED, field, text.orElse(""), where);
      return Selector.everything();
    }
  }

  /** Reads an integer. */
  public long requiredInteger(String field, long min, long max) {
    if (find(field).isEmpty()) {
      fault(FieldFault.Kind.MISSING, field, "", range(min, max));
      return min;
    }
    return integer(field, min, max, min);
  }

  /** Reads an integer; an absent field has a default. */
  public long integer(String field, long min, long max, long defaultValue) {
    Optional<JsonNode> node = find(field);
    if (node.isEmpty()) {
      return defaultValue;
    }
    if (!node.get().isIntegralNumber()) {
      wrongType(field, node.get(), range(min, max));
      return defaultValue;
    }
    boolean inRange = node.get().canConvertToLong();
    if (!inRange || node.get().asLong() < min || node.get().asLong() > max) {
      fault(FieldFault.Kind.NOT_ACCEPTED, field, node.get().asText(), range(min, max));
      return defaultValue;
    }
    return node.get().asLong();
  }

  private static String range(long min, long max) {
    return "an integer from %d to %d".formatted(min, max);
  }

  /** Reads a number; an absent field has a default. */
  public double number(String field, double min, double max, double defaultValue) {
    String accepted = "a number from %s to %s".formatted(min, max);
    Optional<JsonNode> node = find(field);
    if (node.isEmpty()) {
      return defaultValue;
    }
    if (!node.get().isNumber()) {
      wrongType(field, node.get(), accepted);
      return defaultValue;
    }
    double value = node.get().asDouble();
    if (!(value >= min && value <= max)) {
      fault(FieldFault.Kind.NOT_ACCEPTED, field, node.get().asText(), accepted);
      return defaultValue;
    }
    return value;
  }

  /** Reads true or false; empty if the field is absent. */
  public Optional<Boolean> flag(String field) {
    Optional<JsonNode> node = find(field);
    if (node.isEmpty()) {
      return Optional.empty();
    }
    if (!node.get().isBoolean()) {
      wrongType(field, node.get(), "true or false");
      return Optional.empty();
    }
    return Optional.of(node.get().asBoolean());
  }

  /** Reads a list of strings; an absent field is an empty list. */
  public Set<String> words(String field, Predicate<String> valid, String accepted) {
    return new HashSet<>(strings(field, valid, accepted));
  }

  private List<String> strings(String field, Predicate<String> valid, String accepted) {
    Optional<JsonNode> node = find(field);
    if (node.isEmpty()) {
      return List.of();
    }
    if (!node.get().isArray()) {
      wrongType(field, node.get(), "a list of " + accepted);
      return List.of();
    }
    List<String> words = new ArrayList<>();
    for (JsonNode element : node.get()) {
      if (element.isTextual() && valid.test(element.asText())) {
        words.add(element.asText());
      } else {
        fault(FieldFault.Kind.NOT_ACCEPTED, field, element.asText(), accepted);
      }
    }
    return words;
  }

  private Optional<String> check(
      String field, Optional<String> text, Predicate<String> valid, String accepted) {
    if (text.isPresent() && !valid.test(text.get())) {
      fault(FieldFault.Kind.NOT_ACCEPTED, field, text.get(), accepted);
      return Optional.empty();
    }
    return text;
  }

  private Optional<String> requiredText(String field, String accepted) {
    if (find(field).isEmpty()) {
      fault(FieldFault.Kind.MISSING, field, "", accepted);
      return Optional.empty();
    }
    return text(field, accepted);
  }

  private Optional<String> text(String field, String accepted) {
    Optional<JsonNode> node = find(field);
    if (node.isPresent() && !node.get().isTextual()) {
      wrongType(field, node.get(), "a string: " + accepted);
      return Optional.empty();
    }
    return node.map(JsonNode::asText);
  }

  private Optional<JsonNode> find(String field) {
    known.add(field);
    return Optional.ofNullable(body.get(field));
  }

  private void wrongType(String path, JsonNode found, String accepted) {
    fault(FieldFault.Kind.WRONG_TYPE, path, found.toString(), accepted);
  }

  private void fault(FieldFault.Kind kind, String path, String found, String accepted) {
    faults.add(new FieldFault(kind, prefix + path, found, accepted));
  }
}
