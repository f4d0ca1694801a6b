package org.cowslipstair.edge.log;

import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.util.concurrent.TimeUnit;
import java.util.function.ToDoubleFunction;
import org.cowslipstair.edge.exchange.ExchangeObserver.Summary;
import org.cowslipstair.model.config.ServiceName;
import org.cowslipstair.model.traffic.Route;

/** Counters and histograms of one gateway. Labels take their values from small sets. */
public final class GatewayMetrics {
  /** Results are cut to their first word, so that messages of failures make no labels. */
  private static final String WORD_END = "[ :]";

  private final PrometheusMeterRegistry registry =
      new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);

  /** Counts a request that has ended. */
  void finished(Summary summary) {
    String route = summary.route().map(Route::name).orElse("none");
    String service = summary.service().map(ServiceName::value).orElse("none");
    registry
        .timer("requests", "route", route, "service", service, "outcome", summary.outcome())
        .record(summary.tookNs(), TimeUnit.NANOSECONDS);
  }

  /** Counts a send. */
  void sent(String cause) {
    registry.counter("sends", "cause", cause).increment();
  }

  /** Counts the end of a send. */
  void attemptEnded(String result, long tookNs) {
    registry
        .timer("answers", "result", result.split(WORD_END)[0])
        .record(tookNs, TimeUnit.NANOSECONDS);
  }

  /** Counts lines of the log that were left out. */
  void linesLeftOut(long count) {
    registry.counter("log.lines.left.out").increment(count);
  }

  /** Shows a value that changes by itself. */
  public <T> void gauge(String name, T source, ToDoubleFunction<T> value) {
    registry.gauge(name, source, value);
  }

  /** Returns all metrics in the Prometheus text format. */
  String text() {
    return registry.scrape();
  }
}
