package org.cowslipstair.experiments.plan;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import org.cowslipstair.adapters.settings.InvalidFileException;
import org.cowslipstair.adapters.settings.TomlDocument;
import org.cowslipstair.logic.object.FieldReader;

/**
 * An experiment: each scenario at each utilization with each variant, in turns.
 *
 * @param utilizationPercents shares of all slots that are busy on average
 * @param serviceTimeUs mean of the exponential service time
 * @param eventLoopProbesPerSecond probes that a backend server may get from all gateways on event
 *     loops together
 * @param phaseMs length of one phase of one variant
 * @param settleMs time at the start of a phase that is not recorded
 * @param rounds number of phases of each variant, one after the other
 */
public record Experiment(
    String name,
    String deployment,
    int gateways,
    List<Scenario> scenarios,
    List<Integer> utilizationPercents,
    List<Variant> variants,
    long serviceTimeUs,
    double nonIdempotentShare,
    double eventLoopProbesPerSecond,
    long phaseMs,
    long settleMs,
    int rounds,
    long seed) {
  private static final int MAX_GATEWAYS = 128;
  private static final int MAX_SERVICE_TIME_US = 10_000_000;
  private static final int MAX_PHASE_MS = 600_000;
  private static final int MAX_ROUNDS = 100;
  private static final double MAX_PROBES_PER_SECOND = 10_000;

  /** Copies the lists. */
  public Experiment {
    scenarios = List.copyOf(scenarios);
    utilizationPercents = List.copyOf(utilizationPercents);
    variants = List.copyOf(variants);
  }

  /** Reads an experiment and reports every fault in its file. */
  public static Experiment read(Path file) throws IOException, InvalidFileException {
    TomlDocument document = TomlDocument.read(file);
    FieldReader fields = document.fields();
    Experiment experiment =
        new Experiment(
            fields.name("name", Function.identity()),
            fields.name("deployment", Function.identity()),
            (int) fields.integer("gateways", 1, MAX_GATEWAYS, 18),
            list(fields, "scenarios", "scenarios such as shifting", Scenario::fromWireName),
            list(fields, "utilization_percents", "percents such as 60", Experiment::percent),
            list(fields, "variants", "policies such as broker+hedge", Variant::parse),
            fields.integer("service_time_us", 1, MAX_SERVICE_TIME_US, 20_000),
            fields.number("non_idempotent_share", 0, 1, 0),
            fields.number("event_loop_probes_per_second", 0, MAX_PROBES_PER_SECOND, 60),
            fields.integer("phase_ms", 100, MAX_PHASE_MS, 10_000),
            fields.integer("settle_ms", 0, MAX_PHASE_MS, 2_000),
            (int) fields.integer("rounds", 1, MAX_ROUNDS, 1),
            fields.integer("seed", 0, Long.MAX_VALUE, 1));
    document.requireValid();
    return experiment;
  }

  private static <T> List<T> list(
      FieldReader fields, String field, String accepted, Function<String, Optional<T>> parser) {
    String text = fields.parsed(field, accepted, "", found -> valid(found, parser));
    return parse(text, parser);
  }

  private static <T> Optional<String> valid(String text, Function<String, Optional<T>> parser) {
    boolean allValid = parse(text, parser).size() == text.split(",").length;
    return allValid ? Optional.of(text) : Optional.empty();
  }

  private static <T> List<T> parse(String text, Function<String, Optional<T>> parser) {
    List<T> values = new ArrayList<>();
    for (String part : text.split(",")) {
      parser.apply(part.trim()).ifPresent(values::add);
    }
    return values;
  }

  private static Optional<Integer> percent(String text) {
    try {
      int percent = Integer.parseInt(text);
      return percent > 0 && percent <= 200 ? Optional.of(percent) : Optional.empty();
    } catch (NumberFormatException ignored) {
      return Optional.empty();
    }
  }
}
