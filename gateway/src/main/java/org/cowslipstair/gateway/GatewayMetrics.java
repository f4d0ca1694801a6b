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
  private static final Duration QUANTILE_WINDOW = Duration.ofMinutes(1);

  private final PrometheusMeterRegistry registry =
      new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
  private final Map<OutcomeKey, Counter> outcomeCounters = new ConcurrentHashMap<>();
  private final Map<String, Timer> addedLatencyTimers = new ConcurrentHashMap<>();
  private final Counter retries = Counter.builder("cowslipstair.retries").register(registry);
  private final Counter hedges = Counter.builder("cowslipstair.hedges").register(registry);

  private record OutcomeKey(String service, String outcome, String reason) {}

  /** Records a completed call. */
  void recordCall(CallSummary summary) {
    String service = serviceTagValue(summary.service());
    outcomeCounters
        .computeIfAbsent(outcomeKey(service, summary.outcome()), this::newOutcomeCounter)
        .increment();
    if (summary.outcome() instanceof Outcome.Answered) {
      addedLatencyTimers
          .computeIfAbsent(service, this::newAddedLatencyTimer)
          .record(summary.addedLatencyNs(), TimeUnit.NANOSECONDS);
    }
    if (summary.retries() > 0) {
      retries.increment(summary.retries());
    }
    if (summary.hedged()) {
      hedges.increment();
    }
  }

  private static String serviceTagValue(Optional<ServiceName> service) {
    return service.map(ServiceName::value).orElse("none");
  }

  private static OutcomeKey outcomeKey(String service, Outcome outcome) {
    return switch (outcome) {
      case Outcome.Answered _ -> new OutcomeKey(service, "answered", "none");
      case Outcome.NotRun(var reason) -> new OutcomeKey(service, "not-run", tagValue(reason));
      case Outcome.MayHaveRun(var reason) ->
          new OutcomeKey(service, "may-have-run", tagValue(reason));
      case Outcome.CallerGone _ -> new OutcomeKey(service, "caller-gone", "none");
    };
  }

  private static String tagValue(Enum<?> constant) {
    return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  private Counter newOutcomeCounter(OutcomeKey key) {
    return Counter.builder("cowslipstair.calls")
        .description("Calls by service and outcome")
        .tag("service", key.service)
        .tag("outcome", key.outcome)
        .tag("reason", key.reason)
        .register(registry);
  }

  private Timer newAddedLatencyTimer(String service) {
    return Timer.builder("cowslipstair.added.latency")
        .description("Time of answered calls in which no backend server worked on them")
        .tag("service", service)
        .publishPercentiles(QUANTILES)
        .distributionStatisticExpiry(QUANTILE_WINDOW)
        .register(registry);
  }

  /** Registers a gauge whose value is read at each scrape. */
  void addGauge(String name, String description, Supplier<Number> value) {
    Gauge.builder(name, value).description(description).register(registry);
  }

  /** Registers a violation gauge for each invariant. */
  void addViolationGauges(InvariantMonitor monitor) {
    for (Invariant invariant : Invariant.values()) {
      Gauge.builder("cowslipstair.violations", () -> monitor.violationCount(invariant))
          .description("Promises that did not hold since the start")
          .tag("invariant", tagValue(invariant))
          .register(registry);
    }
  }

  /** Returns all metrics in the Prometheus text format. */
  String scrape() {
    return registry.scrape();
  }
}
