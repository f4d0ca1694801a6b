package org.cowslipstair.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintStream;
import java.util.List;
import java.util.Locale;
import org.cowslipstair.cli.CommonOptions.OutputFormat;

/** Writes results as tables or JSON, and progress to the error stream. */
final class Printer {
  private static final String COLUMN_GAP = "  ";
  private static final ObjectMapper MAPPER =
      JsonMapper.builder().enable(SerializationFeature.INDENT_OUTPUT).build();

  private final PrintStream out;
  private final PrintStream err;
  private final OutputFormat format;

  Printer(PrintStream out, PrintStream err, OutputFormat format) {
    this.out = out;
    this.err = err;
    this.format = format;
  }

  boolean isJson() {
    return format == OutputFormat.json;
  }

  /** Writes rows as a table, or as a JSON list of objects with the headers as keys. */
  void rows(List<String> headers, List<List<String>> rows) {
    if (isJson()) {
      json(toJson(headers, rows));
      return;
    }
    int[] widths = new int[headers.size()];
    for (int column = 0; column < widths.length; column++) {
      widths[column] = headers.get(column).length();
      for (List<String> row : rows) {
        widths[column] = Math.max(widths[column], row.get(column).length());
      }
    }
    row(headers.stream().map(header -> header.toUpperCase(Locale.ROOT)).toList(), widths);
    rows.forEach(row -> row(row, widths));
  }

  static ArrayNode toJson(List<String> headers, List<List<String>> rows) {
    ArrayNode list = MAPPER.createArrayNode();
    for (List<String> row : rows) {
      ObjectNode object = list.addObject();
      for (int column = 0; column < headers.size(); column++) {
        object.put(headers.get(column), row.get(column));
      }
    }
    return list;
  }

  private void row(List<String> cells, int[] widths) {
    StringBuilder line = new StringBuilder();
    for (int column = 0; column < widths.length; column++) {
      line.append(cells.get(column)).append(COLUMN_GAP);
      line.repeat(' ', widths[column] - cells.get(column).length());
    }
    out.println(line.toString().stripTrailing());
  }

  /** Writes a value as JSON, regardless of the output format. */
  void json(Object value) {
    try {
      out.println(MAPPER.writeValueAsString(value));
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a tree is always valid JSON", e);
    }
  }

  /** Writes a line that is not part of a table; with JSON output, to the error stream. */
  void line(String text) {
    (isJson() ? err : out).println(text);
  }

  /** Writes progress or a warning. */
  void progress(String text) {
    err.println(text);
  }
}
