package org.cowslipstair.adapters.settings;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.cowslipstair.logic.object.FieldError;
import org.cowslipstair.logic.object.InvalidFieldsException;
import org.cowslipstair.logic.object.ObjectJson;
import org.cowslipstair.model.config.ConfigObject;
import org.cowslipstair.model.config.ObjectKey;
import org.cowslipstair.model.config.ObjectKind;

/**
 * Reads configuration objects from TOML files with lists of tables such as {@code [[zone]]} and
 * {@code [[backend_server]]}.
 */
public final class ObjectFiles {
  private static final String NAME = "name";
  private static final String SUFFIX = ".toml";
  private static final String ACCEPTED_TABLES =
      Stream.of(ObjectKind.values())
          .filter(ObjectKind::isConfiguration)
          .map(kind -> "[[" + tableOf(kind) + "]]")
          .collect(Collectors.joining(", "));

  private final Map<ObjectKey, ConfigObject> objects = new TreeMap<>();
  private final Map<ObjectKey, Place> places = new TreeMap<>();
  private final List<FileError> errors = new ArrayList<>();

  private record Place(TomlDocument document, String path) {
    FileError locate(FieldError error) {
      String at = error.path().isEmpty() ? path : path + "." + error.path();
      return document.locate(new FieldError(error.kind(), at, error.found(), error.accepted()));
    }
  }

  private ObjectFiles() {}

  /** Reads one file, or all files ending in .toml of a directory. */
  public static ObjectFiles read(Path path) throws IOException, InvalidFileException {
    ObjectFiles files = new ObjectFiles();
    for (Path file : filesOf(path)) {
      files.add(file);
    }
    files.requireValid();
    return files;
  }

  private static List<Path> filesOf(Path path) throws IOException {
    if (!Files.isDirectory(path)) {
      return List.of(path);
    }
    try (Stream<Path> entries = Files.list(path)) {
      return entries.filter(entry -> entry.toString().endsWith(SUFFIX)).sorted().toList();
    }
  }

  /** Returns the objects in the order of their keys. */
  public Collection<ConfigObject> objects() {
    return List.copyOf(objects.values());
  }

  /** Throws if there are errors in objects that were read from these files. */
  public void requireNone(Map<ObjectKey, List<FieldError>> errorsByKey)
      throws InvalidFileException {
    errorsByKey.forEach((key, found) -> found.forEach(error -> addError(key, error)));
    requireValid();
  }

  private void addError(ObjectKey key, FieldError error) {
    Place place = places.get(key);
    if (place != null) {
      errors.add(place.locate(error));
    }
  }

  private void requireValid() throws InvalidFileException {
    if (!errors.isEmpty()) {
      throw new InvalidFileException(errors);
    }
  }

  private void add(Path file) throws IOException {
    try {
      TomlDocument document = TomlDocument.read(file);
      for (Map.Entry<String, JsonNode> table : document.root().properties()) {
        addTables(document, table.getKey(), table.getValue());
      }
    } catch (InvalidFileException e) {
      errors.addAll(e.faults());
    }
  }

  private void addTables(TomlDocument document, String table, JsonNode list) {
    Optional<ObjectKind> kind =
        ObjectKind.fromWireName(table.replace('_', '-')).filter(ObjectKind::isConfiguration);
    if (kind.isEmpty() || table.indexOf('-') >= 0) {
      errors.add(document.locate(error(FieldError.Kind.UNKNOWN_FIELD, table, ACCEPTED_TABLES)));
      return;
    }
    if (!list.isArray()) {
      String accepted = "[[" + tableOf(kind.get()) + "]]";
      errors.add(document.locate(error(FieldError.Kind.WRONG_TYPE, table, accepted)));
      return;
    }
    for (int i = 0; i < list.size(); i++) {
      Place place = new Place(document, "%s[%d]".formatted(table, i));
      if (list.get(i) instanceof ObjectNode body) {
        addObject(place, kind.get(), body);
      } else {
        errors.add(place.locate(error(FieldError.Kind.WRONG_TYPE, "", "a table")));
      }
    }
  }

  private void addObject(Place place, ObjectKind kind, ObjectNode table) {
    JsonNode name = table.path(NAME);
    if (!name.isTextual() || !ObjectKey.isValidName(name.asText())) {
      FieldError.Kind problem =
          name.isMissingNode() ? FieldError.Kind.MISSING : FieldError.Kind.NOT_ACCEPTED;
      String accepted = "lower-case letters, digits, '.', '_' or '-'";
      errors.add(place.locate(new FieldError(problem, NAME, name.asText(), accepted)));
      return;
    }
    ObjectKey key = new ObjectKey(kind, name.asText());
    ObjectNode body = table.deepCopy();
    body.remove(NAME);
    try {
      ConfigObject object = ObjectJson.read(key, body);
      if (objects.putIfAbsent(key, object) != null) {
        errors.add(
            place.locate(new FieldError(FieldError.Kind.DUPLICATE, NAME, key.name(), "once")));
      }
      places.putIfAbsent(key, place);
    } catch (InvalidFieldsException e) {
      e.errors().forEach(error -> errors.add(place.locate(error)));
    }
  }

  private static FieldError error(FieldError.Kind kind, String path, String accepted) {
    return new FieldError(kind, path, "", accepted);
  }

  private static String tableOf(ObjectKind kind) {
    return kind.wireName().replace('-', '_');
  }
}
