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
 * Reads the fields of a JSON or TOML table and collects all validation errors. For an invalid
 * field, a reader method returns a valid placeholder so that reading can continue; {@link
 * #collectErrors} then returns the errors. Not thread-safe.
 */
public final class FieldReader {
  private static final String ACCEPTED_NAME = "lower-case letters, digits, '.', '_' or '-'";
  private static final String PLACEHOLDER = "invalid";
  private static final String ACCEPTED_ADDRESS = "host:port, port from 0 to 65535";
  private static final HostPort PLACEHOLDER_ADDRESS = new HostPort(PLACEHOLDER, 0);

  private final ObjectNode tableNode;
  private final String prefix;
  private final List<FieldError> errors;
  private final Set<String> requestedFields = new TreeSet<>();
  private final List<FieldReader> nestedReaders = new ArrayList<>();

  /** Creates a reader for a top-level table. */
  public FieldReader(ObjectNode tableNode) {
    this(tableNode, "", new ArrayList<>());
  }

  private FieldReader(ObjectNode tableNode, String prefix, List<FieldError> errors) {
    this.tableNode = tableNode;
    this.prefix = prefix;
    this.errors = errors;
  }

  /**
   * Returns all errors of this table and its nested tables, including fields that were not read.
   */
  public List<FieldError> collectErrors() {
    nestedReaders.forEach(FieldReader::collectErrors);
    for (Map.Entry<String, JsonNode> field : tableNode.properties()) {
      if (!requestedFields.contains(field.getKey())) {
        String accepted = String.join(", ", requestedFields);
        addError(FieldError.Kind.UNKNOWN_FIELD, field.getKey(), "", accepted);
      }
    }
    return List.copyOf(errors);
  }

  /** Returns a reader for a nested table; empty if the field is absent or invalid. */
  public Optional<FieldReader> table(String field) {
    Optional<JsonNode> node = fieldNode(field);
    if (node.isEmpty()) {
      return Optional.empty();
    }
    if (!(node.get() instanceof ObjectNode nested)) {
      addWrongType(field, node.get(), "a table");
      return Optional.empty();
    }
    FieldReader reader = new FieldReader(nested, prefix + field + ".", errors);
    nestedReaders.add(reader);
    return Optional.of(reader);
  }

  /** Returns readers for a list of tables; empty if the field is absent or invalid. */
  public List<FieldReader> tables(String field) {
    Optional<JsonNode> node = fieldNode(field);
    if (node.isEmpty()) {
      return List.of();
    }
    List<FieldReader> readers = new ArrayList<>();
    for (int i = 0; i < node.get().size(); i++) {
      if (node.get().get(i) instanceof ObjectNode nested) {
        String nestedPrefix = "%s%s[%d].".formatted(prefix, field, i);
        readers.add(new FieldReader(nested, nestedPrefix, errors));
      }
    }
    if (!node.get().isArray() || readers.size() != node.get().size()) {
      addWrongType(field, node.get(), "a list of tables");
    }
    nestedReaders.addAll(readers);
    return readers;
  }

  /** Reads a required address. */
  public HostPort address(String field) {
    return parsed(field, ACCEPTED_ADDRESS, PLACEHOLDER_ADDRESS, HostPort::parse);
  }

  /** Reads a required list of at least one address. */
  public List<HostPort> addresses(String field) {
    List<HostPort> addresses = new ArrayList<>();
    for (String text :
        stringList(field, element -> HostPort.parse(element).isPresent(), ACCEPTED_ADDRESS)) {
      HostPort.parse(text).ifPresent(addresses::add);
    }
    if (addresses.isEmpty() && tableNode.path(field).isEmpty()) {
      addError(FieldError.Kind.MISSING, field, "", "a list of " + ACCEPTED_ADDRESS);
    }
    return addresses;
  }

  /** Reads the table of labels; empty if it is absent. */
  public Labels labels() {
    Optional<JsonNode> node = fieldNode("labels");
    if (node.isEmpty()) {
      return Labels.empty();
    }
    if (!node.get().isObject()) {
      addWrongType("labels", node.get(), "a table of label keys and values");
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
      addError(FieldError.Kind.NOT_ACCEPTED, path, "", LabelSyntax.ACCEPTED_KEY);
    } else if (!value.isTextual()) {
      addWrongType(path, value, "a string of " + LabelSyntax.ACCEPTED_VALUE);
    } else if (!LabelSyntax.isValue(value.asText())) {
      addError(FieldError.Kind.NOT_ACCEPTED, path, value.asText(), LabelSyntax.ACCEPTED_VALUE);
    } else {
      values.put(label, value.asText());
    }
  }

  /** Reads the required name of another object. */
  public <T> T name(String field, Function<String, T> constructor) {
    Optional<String> text = requiredText(field, ACCEPTED_NAME);
    Optional<String> validName = validate(field, text, ObjectKey::isValidName, ACCEPTED_NAME);
    return constructor.apply(validName.orElse(PLACEHOLDER));
  }

  /** Reads a required string and parses it; returns the placeholder if it is absent or invalid. */
  public <T> T parsed(
      String field, String accepted, T placeholder, Function<String, Optional<T>> parser) {
    Optional<String> text = requiredText(field, accepted);
    if (text.isEmpty()) {
      return placeholder;
    }
    Optional<T> value = parser.apply(text.get());
    if (value.isEmpty()) {
      addError(FieldError.Kind.NOT_ACCEPTED, field, text.get(), accepted);
    }
    return value.orElse(placeholder);
  }

  /** Reads an optional string and parses it; returns the default if it is absent or invalid. */
  public <T> T parsedOrDefault(
      String field, String accepted, T defaultValue, Function<String, Optional<T>> parser) {
    if (fieldNode(field).isEmpty()) {
      return defaultValue;
    }
    return parsed(field, accepted, defaultValue, parser);
  }

  /** Reads an optional string; empty if the field is absent or invalid. */
  public Optional<String> optionalText(String field, Predicate<String> isValid, String accepted) {
    return validate(field, text(field, accepted), isValid, accepted);
  }

  /** Reads a required string whose value must not appear in errors. */
  public String secret(String field, int minChars) {
    String accepted = "at least %d characters".formatted(minChars);
    Optional<JsonNode> node = fieldNode(field);
    if (node.isEmpty()) {
      addError(FieldError.Kind.MISSING, field, "", accepted);
      return "";
    }
    if (!node.get().isTextual()) {
      addError(FieldError.Kind.WRONG_TYPE, field, "", "a string of " + accepted);
      return "";
    }
    if (node.get().asText().length() < minChars) {
      addError(FieldError.Kind.NOT_ACCEPTED, field, "", accepted);
    }
    return node.get().asText();
  }

  /** Reads a selector; one that is absent but not required selects everything. */
  public Selector selector(String field, boolean required) {
    String accepted = "a selector such as \"app = watch, tier in (gold, silver), !canary\"";
    Optional<String> text = required ? requiredText(field, accepted) : text(field, accepted);
    try {
      return SelectorSyntax.parse(text.orElse(""));
    } catch (InvalidSelectorException e) {
      String acceptedAtColumn = "at column %d: %s".formatted(e.column(), e.accepted());
      addError(FieldError.Kind.NOT_ACCEPTED, field, text.orElse(""), acceptedAtColumn);
      return Selector.everything();
    }
  }

  /** Reads a required integer; returns {@code min} if it is absent or invalid. */
  public long requiredInteger(String field, long min, long max) {
    if (fieldNode(field).isEmpty()) {
      addError(FieldError.Kind.MISSING, field, "", acceptedRange(min, max));
      return min;
    }
    return integer(field, min, max, min);
  }

  /** Reads an optional integer; returns the default if it is absent or invalid. */
  public long integer(String field, long min, long max, long defaultValue) {
    Optional<JsonNode> node = fieldNode(field);
    if (node.isEmpty()) {
      return defaultValue;
    }
    if (!node.get().isIntegralNumber()) {
      addWrongType(field, node.get(), acceptedRange(min, max));
      return defaultValue;
    }
    boolean fitsInLong = node.get().canConvertToLong();
    if (!fitsInLong || node.get().asLong() < min || node.get().asLong() > max) {
      addError(FieldError.Kind.NOT_ACCEPTED, field, node.get().asText(), acceptedRange(min, max));
      return defaultValue;
    }
    return node.get().asLong();
  }

  private static String acceptedRange(long min, long max) {
    return "an integer from %d to %d".formatted(min, max);
  }

  /** Reads an optional number; returns the default if it is absent or invalid. */
  public double number(String field, double min, double max, double defaultValue) {
    String accepted = "a number from %s to %s".formatted(min, max);
    Optional<JsonNode> node = fieldNode(field);
    if (node.isEmpty()) {
      return defaultValue;
    }
    if (!node.get().isNumber()) {
      addWrongType(field, node.get(), accepted);
      return defaultValue;
    }
    double value = node.get().asDouble();
    if (!(value >= min && value <= max)) {
      addError(FieldError.Kind.NOT_ACCEPTED, field, node.get().asText(), accepted);
      return defaultValue;
    }
    return value;
  }

  /** Reads an optional boolean; empty if the field is absent or invalid. */
  public Optional<Boolean> flag(String field) {
    Optional<JsonNode> node = fieldNode(field);
    if (node.isEmpty()) {
      return Optional.empty();
    }
    if (!node.get().isBoolean()) {
      addWrongType(field, node.get(), "true or false");
      return Optional.empty();
    }
    return Optional.of(node.get().asBoolean());
  }

  /** Reads an optional list of strings as a set; skips invalid elements; empty if it is absent. */
  public Set<String> stringSet(String field, Predicate<String> isValid, String accepted) {
    return new HashSet<>(stringList(field, isValid, accepted));
  }

  private List<String> stringList(String field, Predicate<String> isValid, String accepted) {
    Optional<JsonNode> node = fieldNode(field);
    if (node.isEmpty()) {
      return List.of();
    }
    if (!node.get().isArray()) {
      addWrongType(field, node.get(), "a list of " + accepted);
      return List.of();
    }
    List<String> texts = new ArrayList<>();
    for (JsonNode element : node.get()) {
      if (element.isTextual() && isValid.test(element.asText())) {
        texts.add(element.asText());
      } else {
        addError(FieldError.Kind.NOT_ACCEPTED, field, element.asText(), accepted);
      }
    }
    return texts;
  }

  private Optional<String> validate(
      String field, Optional<String> text, Predicate<String> isValid, String accepted) {
    if (text.isPresent() && !isValid.test(text.get())) {
      addError(FieldError.Kind.NOT_ACCEPTED, field, text.get(), accepted);
      return Optional.empty();
    }
    return text;
  }

  private Optional<String> requiredText(String field, String accepted) {
    if (fieldNode(field).isEmpty()) {
      addError(FieldError.Kind.MISSING, field, "", accepted);
      return Optional.empty();
    }
    return text(field, accepted);
  }

  private Optional<String> text(String field, String accepted) {
    Optional<JsonNode> node = fieldNode(field);
    if (node.isPresent() && !node.get().isTextual()) {
      addWrongType(field, node.get(), "a string: " + accepted);
      return Optional.empty();
    }
    return node.map(JsonNode::asText);
  }

  private Optional<JsonNode> fieldNode(String field) {
    requestedFields.add(field);
    return Optional.ofNullable(tableNode.get(field));
  }

  private void addWrongType(String path, JsonNode found, String accepted) {
    addError(FieldError.Kind.WRONG_TYPE, path, found.toString(), accepted);
  }

  private void addError(FieldError.Kind kind, String path, String found, String accepted) {
    errors.add(new FieldError(kind, prefix + path, found, accepted));
  }
}
