package org.cowslipstair.edge.log;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import org.cowslipstair.edge.exchange.ExchangeObserver;
import org.cowslipstair.logic.budget.RetryBudget;
import org.cowslipstair.model.config.ServiceName;
import org.cowslipstair.model.traffic.Route;
import org.cowslipstair.port.MonotonicClock;
import org.jboss.logging.Logger;
import org.jboss.logging.MDC;

/**
 * Writes one log line for each decision about a request and updates the metrics. Ordinary lines are
 * limited to a rate; skipped lines are counted. Lines about refusals, failures, retries and late
 * responses are always written. Used on the event loop only.
 */
public final class GatewayLog implements ExchangeObserver {
  private static final Logger LOG = Logger.getLogger("exchange");
  private static final long NS_PER_MS = 1_000_000L;
  private static final int MIN_FAILURE_STATUS = 300;

  /** Maximum rate of ordinary lines; a gateway currently handles about 6 requests a second. */
  private static final int MAX_ORDINARY_LINES_PER_SECOND = 60;

  private final String gateway;
  private final GatewayMetrics metrics;
  private final LineRateLimiter ordinaryLineLimiter;

  /** Creates a log. */
  public GatewayLog(String gateway, GatewayMetrics metrics, MonotonicClock clock) {
    this.gateway = gateway;
    this.metrics = metrics;
    this.ordinaryLineLimiter = new LineRateLimiter(MAX_ORDINARY_LINES_PER_SECOND, clock);
  }

  @Override
  public void onExchangeFinished(Summary summary) {
    metrics.recordExchange(summary);
    boolean isLate =
        summary
            .route()
            .map(route -> summary.durationNs() > route.targetLatencyMs() * NS_PER_MS)
            .orElse(false);
    boolean isSuccess =
        summary.outcome().equals("answered") && summary.status() < MIN_FAILURE_STATUS;
    if (isSuccess && !isLate && summary.sendCount() == 1 && !ordinaryLineLimiter.tryAcquire()) {
      return;
    }
    Map<String, Object> fields = fields(summary.requestId());
    fields.put("outcome", isSuccess && isLate ? "late" : summary.outcome());
    fields.put("status", summary.status());
    fields.put("route", summary.route().map(Route::name).orElse(""));
    fields.put("service", summary.service().map(ServiceName::value).orElse(""));
    fields.put("sends", summary.sendCount());
    fields.put("took_ms", summary.durationNs() / NS_PER_MS);
    fields.put("detail", summary.detail());
    write("exchange: ended", fields);
    long skippedLines = ordinaryLineLimiter.drainSkipped();
    if (skippedLines > 0) {
      metrics.recordSkippedLines(skippedLines);
    }
  }

  @Override
  public void onRetryBudgetCreated(ServiceName service, RetryBudget budget) {
    metrics.registerGauge("retries.left", service, budget::availableTokens);
  }

  @Override
  public void onWaitingRoomCreated(Supplier<Integer> size) {
    metrics.registerGauge("requests.waiting", size::get);
  }

  @Override
  public void onWaited(ServiceName service, long waitedNs) {
    metrics.recordWait(service, waitedNs);
  }

  @Override
  public void onRequestSent(Sent sent) {
    metrics.recordSend(sent.cause());
    if (sent.cause().equals("first") && !ordinaryLineLimiter.tryAcquire()) {
      return;
    }
    Map<String, Object> fields = fields(sent.requestId());
    fields.put("backend", sent.backend().value());
    fields.put("cause", sent.cause());
    fields.put("load", sent.load());
    fields.put("estimate", Math.round(sent.estimate() * 100) / 100.0);
    fields.put("deadline_ms", sent.remainingMs());
    fields.put("waited_ms", sent.waitedNs() / NS_PER_MS);
    write("exchange: sent", fields);
  }

  @Override
  public void onAttemptEnded(AttemptEnd end) {
    metrics.recordAttempt(end.result(), end.durationNs());
    if (end.result().startsWith("2") && !ordinaryLineLimiter.tryAcquire()) {
      return;
    }
    Map<String, Object> fields = fields(end.requestId());
    fields.put("backend", end.backend().value());
    fields.put("result", end.result());
    fields.put("took_ms", end.durationNs() / NS_PER_MS);
    end.fingerprint().ifPresent(fingerprint -> fields.put("fingerprint", fingerprint.hex()));
    write("exchange: answer", fields);
  }

  private Map<String, Object> fields(Optional<String> requestId) {
    Map<String, Object> fields = new LinkedHashMap<>();
    fields.put("id", requestId.orElse(""));
    fields.put("gateway", gateway);
    return fields;
  }

  private static void write(String message, Map<String, Object> fields) {
    fields.forEach((name, value) -> MDC.put(name, value.toString()));
    LOG.info(message);
    MDC.clear();
  }

  /** Returns the metrics that this log updates. */
  public GatewayMetrics metrics() {
    return metrics;
  }
}
