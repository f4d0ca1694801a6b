package org.cowslipstair.experiments.report;

import java.util.ArrayList;
import java.util.List;

/** A table of text with aligned columns; the first column to the left, others to the right. */
public final class TextTable {
  private final List<List<String>> rows = new ArrayList<>();

  /** Creates a table with a head. */
  public TextTable(String... head) {
    rows.add(List.of(head));
  }

  /** Adds a row with as many cells as the head. */
  public void add(String... cells) {
    rows.add(List.of(cells));
  }

  /** Returns the table as lines. */
  public String render() {
    int[] widths = widths();
    StringBuilder text = new StringBuilder();
    for (List<String> row : rows) {
      text.append(line(row, widths)).append(System.lineSeparator());
    }
    return text.toString();
  }

  private int[] widths() {
    int[] widths = new int[rows.getFirst().size()];
    for (List<String> row : rows) {
      for (int i = 0; i < widths.length; i++) {
        widths[i] = Math.max(widths[i], row.get(i).length());
      }
    }
    return widths;
  }

  private static String line(List<String> row, int[] widths) {
    StringBuilder line = new StringBuilder();
    for (int i = 0; i < widths.length; i++) {
      String padding = " ".repeat(widths[i] - row.get(i).length());
      line.append(i == 0 ? row.get(i) + padding : "  " + padding + row.get(i));
    }
    return line.toString().stripTrailing();
  }
}
