package org.cowslipstair.edge.log;

import io.micrometer.core.instrument.Gauge;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
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

  /** Counts a call to the store. */
  public void storeCall(String kind, String collection, String result) {
    registry
        .counter("store.calls", "kind", kind, "collection", collection, "result", result)
        .increment();
  }

  /** Shows a value that is asked for when the metrics are read. */
  public void gauge(String name, Supplier<Number> value) {
    Gauge.builder(name, value).register(registry);
  }

  /** Shows a value of one service that is asked for when the metrics are read. */
  public void gauge(String name, ServiceName service, Supplier<Number> value) {
    Gauge.builder(name, value).tag("service", service.value()).register(registry);
  }

  /** Returns all metrics in the Prometheus text format. */
  public String text() {
    return registry.scrape();
  }
}
