package org.cowslipstair.gateway;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.time.Duration;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.cowslipstair.logic.call.CallSummary;
import org.cowslipstair.logic.call.CallSummary.Outcome;
import org.cowslipstair.logic.invariant.Invariant;
import org.cowslipstair.logic.invariant.InvariantMonitor;
import org.cowslipstair.model.config.ServiceName;

/** Metrics of one gateway. Safe for concurrent use. */
final class GatewayMetrics {
  private static final double[] QUANTILES = {0.5, 0.99, 0.999};
  private static final Duration WINDOW = Duration.ofMinutes(1);

  private final PrometheusMeterRegistry registry =
      new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
  private final Map<OutcomeKey, Counter> outcomes = new ConcurrentHashMap<>();
  private final Map<String, Timer> added = new ConcurrentHashMap<>();
  private final Counter retries = Counter.builder("cowslipstair.retries").register(registry);
  private final Counter hedges = Counter.builder("cowslipstair.hedges").register(registry);

  private record OutcomeKey(String service, String outcome, String reason) {}

  /** Counts a call whose result is known. */
  void call(CallSummary summary) {
    String service = serviceTag(summary.service());
    outcomes.computeIfAbsent(key(service, summary.outcome()), this::newCounter).increment();
    if (summary.outcome() instanceof Outcome.Answered) {
      added
          .computeIfAbsent(service, this::newTimer)
          .record(summary.addedLatencyNs(), TimeUnit.NANOSECONDS);
    }
    if (summary.retries() > 0) {
      retries.increment(summary.retries());
    }
    if (summary.hedged()) {
      hedges.increment();
    }
  }

  private static String serviceTag(Optional<ServiceName> service) {
    return service.map(ServiceName::value).orElse("none");
  }

  private static OutcomeKey key(String service, Outcome outcome) {
    return switch (outcome) {
      case Outcome.Answered _ -> new OutcomeKey(service, "answered", "none");
      case Outcome.NotRun(var reason) -> new OutcomeKey(service, "not-run", tag(reason));
      case Outcome.MayHaveRun(var reason) -> new OutcomeKey(service, "may-have-run", tag(reason));
      case Outcome.CallerGone _ -> new OutcomeKey(service, "caller-gone", "none");
    };
  }

  private static String tag(Enum<?> constant) {
    return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  private Counter newCounter(OutcomeKey key) {
    return Counter.builder("cowslipstair.calls")
        .description("Calls by service and outcome")
        .tag("service", key.service)
        .tag("outcome", key.outcome)
        .tag("reason", key.reason)
        .register(registry);
  }

  private Timer newTimer(String service) {
    return Timer.builder("cowslipstair.added.latency")
        .description("Time of answered calls in which no backend server worked on them")
        .tag("service", service)
        .publishPercentiles(QUANTILES)
        .distributionStatisticExpiry(WINDOW)
        .register(registry);
  }

  /** Adds a gauge that is read when the metrics are. */
  void gauge(String name, String description, Supplier<Number> value) {
    Gauge.builder(name, value).description(description).register(registry);
  }

  /** Adds a gauge for each invariant. */
  void violations(InvariantMonitor monitor) {
    for (Invariant invariant : Invariant.values()) {
      Gauge.builder("cowslipstair.violations", () -> monitor.violationCount(invariant))
          .description("Promises that did not hold since the start")
          .tag("invariant", tag(invariant))
          .register(registry);
    }
  }

  /** Returns all metrics as Prometheus text. */
  String scrape() {
    return registry.scrape();
  }
}
