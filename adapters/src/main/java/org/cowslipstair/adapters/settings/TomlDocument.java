package org.cowslipstair.adapters.settings;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.cowslipstair.logic.object.FieldError;
import org.cowslipstair.logic.object.FieldReader;

/**
 * A TOML file. Fields are read through {@link #fields}, and {@link #requireValid} then reports
 * every error with its line.
 */
public final class TomlDocument {
  private static final ObjectMapper MAPPER = new TomlMapper();

  private final String file;
  private final TomlLines lines;
  private final ObjectNode root;
  private final FieldReader fields;

  private TomlDocument(String file, TomlLines lines, ObjectNode root) {
    this.file = file;
    this.lines = lines;
    this.root = root;
    this.fields = new FieldReader(root);
  }

  /** Reads a file. */
  public static TomlDocument read(Path path) throws IOException, InvalidFileException {
    return parse(path.toString(), Files.readString(path));
  }

  /**
   * Parses a text.
   *
   * @param file name that errors show
   */
  public static TomlDocument parse(String file, String text) throws InvalidFileException {
    try {
      JsonNode root = MAPPER.readTree(text);
      ObjectNode table = root instanceof ObjectNode node ? node : MAPPER.createObjectNode();
      return new TomlDocument(file, new TomlLines(text), table);
    } catch (JsonProcessingException e) {
      int line = e.getLocation() == null ? 1 : Math.max(1, e.getLocation().getLineNr());
      FieldError error =
          new FieldError(FieldError.Kind.SYNTAX, "", e.getOriginalMessage(), "TOML 1.0");
      throw new InvalidFileException(List.of(new FileError(file, line, error)));
    }
  }

  /** Returns the reader of the fields of the document. */
  public FieldReader fields() {
    return fields;
  }

  /** Throws if a field that was read had an error or a field was never read. */
  public void requireValid() throws InvalidFileException {
    List<FileError> errors = fields.collectErrors().stream().map(this::locate).toList();
    if (!errors.isEmpty()) {
      throw new InvalidFileException(errors);
    }
  }

  /** Returns an error with its place. */
  FileError locate(FieldError error) {
    return new FileError(file, lines.lineOf(error.path()), error);
  }

  ObjectNode root() {
    return root;
  }
}
