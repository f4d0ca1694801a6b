package org.cowslipstair.experiments.plan;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Map;
import org.cowslipstair.experiments.report.BarChart;
import org.cowslipstair.experiments.report.TextTable;

/** Writes each comparison as a table to the output and to a directory, with a chart of its p99. */
final class ExperimentReport implements ExperimentRun.Listener {
  private static final double TAIL_PERCENTILE = 99;

  private final Experiment experiment;
  private final Path directory;

  ExperimentReport(Experiment experiment, Path directory) {
    this.experiment = experiment;
    this.directory = directory;
  }

  @Override
  public void completed(ExperimentRun.Comparison comparison) throws IOException {
    String title =
        "%s: %s at %d%% of the slots, %d gateways"
            .formatted(
                experiment.deployment(),
                comparison.scenario().wireName(),
                comparison.utilizationPercent(),
                experiment.gateways());
    String text = title + System.lineSeparator() + table(comparison.results());
    System.out.println(text);
    Files.createDirectories(directory);
    Files.writeString(
        directory.resolve(experiment.name() + ".txt"),
        text + System.lineSeparator(),
        StandardOpenOption.CREATE,
        StandardOpenOption.APPEND);
    String chartName =
        "%s-%s-%d.svg"
            .formatted(
                experiment.name(),
                comparison.scenario().wireName(),
                comparison.utilizationPercent());
    Files.writeString(directory.resolve(chartName), chart(title, comparison.results()));
  }

  private static String table(Map<Variant, VariantResult> results) {
    TextTable table = new TextTable(VariantResult.head());
    results.forEach((variant, result) -> table.add(result.row(variant.toString())));
    return table.render();
  }

  private static String chart(String title, Map<Variant, VariantResult> results) {
    BarChart chart = new BarChart(title + ", p99 of answered calls", "ms");
    results.forEach(
        (variant, result) ->
            chart.add(variant.toString(), result.calls().totalMs(TAIL_PERCENTILE)));
    return chart.render();
  }
}
