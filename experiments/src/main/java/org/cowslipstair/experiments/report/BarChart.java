package org.cowslipstair.experiments.report;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Bars of one figure for several policies, as SVG. */
public final class BarChart {
  private static final int WIDTH_PX = 720;
  private static final int LABEL_WIDTH_PX = 230;
  private static final int ROW_PX = 26;
  private static final int TOP_PX = 40;
  private static final int VALUE_WIDTH_PX = 90;

  private final String title;
  private final String unit;
  private final List<Bar> bars = new ArrayList<>();

  /** Creates a chart without bars. */
  public BarChart(String title, String unit) {
    this.title = title;
    this.unit = unit;
  }

  /** Adds a bar. */
  public void add(String label, double value) {
    bars.add(new Bar(label, value));
  }

  /** Returns the chart as an SVG document. */
  public String render() {
    double highest = bars.stream().mapToDouble(Bar::value).max().orElse(0);
    int heightPx = TOP_PX + ROW_PX * bars.size();
    StringBuilder svg = new StringBuilder();
    svg.append(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" height=\"%d\" font-family=\"sans-serif\" font-size=\"13\">%n"
            .formatted(WIDTH_PX, heightPx));
    svg.append("<text x=\"8\" y=\"22\" font-size=\"15\">%s</text>%n".formatted(escape(title)));
    for (int i = 0; i < bars.size(); i++) {
      svg.append(bar(bars.get(i), TOP_PX + i * ROW_PX, highest));
    }
    return svg.append("</svg>").append(System.lineSeparator()).toString();
  }

  private String bar(Bar bar, int yPx, double highest) {
    int spacePx = WIDTH_PX - LABEL_WIDTH_PX - VALUE_WIDTH_PX;
    long widthPx = highest <= 0 ? 0 : Math.round(bar.value / highest * spacePx);
    return String.format(
        Locale.ROOT,
        "<text x=\"8\" y=\"%d\">%s</text><rect x=\"%d\" y=\"%d\" width=\"%d\" height=\"16\""
            + " fill=\"#4c78a8\"/><text x=\"%d\" y=\"%d\">%.1f %s</text>%n",
        yPx + 13,
        escape(bar.label),
        LABEL_WIDTH_PX,
        yPx,
        widthPx,
        LABEL_WIDTH_PX + widthPx + 6,
        yPx + 13,
        bar.value,
        escape(unit));
  }

  private static String escape(String text) {
    return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
  }

  private record Bar(String label, double value) {}
}
