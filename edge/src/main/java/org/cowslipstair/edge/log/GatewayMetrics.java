package org.cowslipstair.edge.log;

import io.micrometer.core.instrument.Gauge;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.cowslipstair.edge.exchange.ExchangeObserver.Summary;
import org.cowslipstair.model.config.ServiceName;
import org.cowslipstair.model.traffic.Route;

/** Counters and timers of one gateway. Label values come from small sets. */
public final class GatewayMetrics {
  /**
   * Only the first word of a result becomes a label, so that error messages do not create labels.
   */
  private static final String WORD_SEPARATOR = "[ :]";

  private final PrometheusMeterRegistry registry =
      new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);

  /** Records a finished exchange. */
  void recordExchange(Summary summary) {
    String route = summary.route().map(Route::name).orElse("none");
    String service = summary.service().map(ServiceName::value).orElse("none");
    registry
        .timer("requests", "route", route, "service", service, "outcome", summary.outcome())
        .record(summary.durationNs(), TimeUnit.NANOSECONDS);
  }

  /** Records the time that a request waited for room before it looked again. */
  void recordWait(ServiceName service, long waitedNs) {
    registry.timer("waits", "service", service.value()).record(waitedNs, TimeUnit.NANOSECONDS);
  }

  /** Counts a send to a backend server. */
  void recordSend(String cause) {
    registry.counter("sends", "cause", cause).increment();
  }

  /** Records a finished send. */
  void recordAttempt(String result, long durationNs) {
    registry
        .timer("answers", "result", result.split(WORD_SEPARATOR)[0])
        .record(durationNs, TimeUnit.NANOSECONDS);
  }

  /** Counts skipped log lines. */
  void recordSkippedLines(long count) {
    registry.counter("log.lines.left.out").increment(count);
  }

  /** Counts a call to the store. */
  public void recordStoreCall(String kind, String collection, String result) {
    registry
        .counter("store.calls", "kind", kind, "collection", collection, "result", result)
        .increment();
  }

  /** Registers a gauge whose value is read when the metrics are scraped. */
  public void registerGauge(String name, Supplier<Number> value) {
    Gauge.builder(name, value).register(registry);
  }

  /** Registers a gauge of one service whose value is read when the metrics are scraped. */
  public void registerGauge(String name, ServiceName service, Supplier<Number> value) {
    Gauge.builder(name, value).tag("service", service.value()).register(registry);
  }

  /** Returns all metrics in the Prometheus text format. */
  public String text() {
    return registry.scrape();
  }
}
