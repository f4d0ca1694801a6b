package org.cowslipstair.edge.log;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.cowslipstair.edge.exchange.ExchangeObserver;
import org.cowslipstair.logic.budget.RetryBudget;
import org.cowslipstair.model.config.BackendName;
import org.cowslipstair.model.config.ServiceName;
import org.cowslipstair.model.traffic.Route;
import org.cowslipstair.port.MonotonicClock;
import org.jboss.logging.Logger;
import org.jboss.logging.MDC;

/**
 * Writes one line for each decision about a request, and counts them. Ordinary lines are limited to
 * a rate; what is left out is counted. Lines about refusals, failures, retries and late answers are
 * always written. Used on the event loop only.
 */
public final class GatewayLog implements ExchangeObserver {
  private static final Logger LOG = Logger.getLogger("exchange");
  private static final long NS_PER_MS = 1_000_000L;
  private static final int FIRST_FAILURE_STATUS = 300;

  /** Ordinary lines a second; a gateway of today carries about 6 requests a second. */
  private static final int ORDINARY_PER_SECOND = 60;

  private final String gateway;
  private final GatewayMetrics metrics;
  private final LineRate ordinary;

  /** Creates a log. */
  public GatewayLog(String gateway, GatewayMetrics metrics, MonotonicClock clock) {
    this.gateway = gateway;
    this.metrics = metrics;
    this.ordinary = new LineRate(ORDINARY_PER_SECOND, clock);
  }

  @Override
  public void finished(Summary summary) {
    metrics.finished(summary);
    boolean late =
        summary
            .route()
            .map(route -> summary.tookNs() > route.targetLatencyMs() * NS_PER_MS)
            .orElse(false);
    boolean good = summary.outcome().equals("answered") && summary.status() < FIRST_FAILURE_STATUS;
    if (good && !late && summary.sends() == 1 && !ordinary.tryTake()) {
      return;
    }
    Map<String, Object> fields = fields(summary.requestId());
    fields.put("outcome", good && late ? "late" : summary.outcome());
    fields.put("status", summary.status());
    fields.put("route", summary.route().map(Route::name).orElse(""));
    fields.put("service", summary.service().map(ServiceName::value).orElse(""));
    fields.put("sends", summary.sends());
    fields.put("took_ms", summary.tookNs() / NS_PER_MS);
    fields.put("detail", summary.detail());
    write("exchange: ended", fields);
    long leftOut = ordinary.takeLeftOut();
    if (leftOut > 0) {
      metrics.linesLeftOut(leftOut);
    }
  }

  @Override
  public void budget(ServiceName service, RetryBudget budget) {
    metrics.gauge("retries.left", service, budget::left);
  }

  @Override
  public void sent(Sent sent) {
    metrics.sent(sent.cause());
    if (sent.cause().equals("first") && !ordinary.tryTake()) {
      return;
    }
    Map<String, Object> fields = fields(sent.requestId());
    fields.put("backend", sent.backend().value());
    fields.put("cause", sent.cause());
    fields.put("load", sent.load());
    fields.put("estimate", Math.round(sent.estimate() * 100) / 100.0);
    fields.put("deadline_ms", sent.deadlineMs());
    fields.put("waited_ms", sent.waitedNs() / NS_PER_MS);
    write("exchange: sent", fields);
  }

  @Override
  public void attemptEnded(
      Optional<String> requestId, BackendName backend, String result, long tookNs) {
    metrics.attemptEnded(result, tookNs);
    if (result.startsWith("2") && !ordinary.tryTake()) {
      return;
    }
    Map<String, Object> fields = fields(requestId);
    fields.put("backend", backend.value());
    fields.put("result", result);
    fields.put("took_ms", tookNs / NS_PER_MS);
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

  /** Returns the metrics that it counts in. */
  public GatewayMetrics metrics() {
    return metrics;
  }
}
