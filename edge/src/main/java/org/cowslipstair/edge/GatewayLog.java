package org.cowslipstair.edge;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.LongAdder;
import org.cowslipstair.edge.exchange.ExchangeObserver;
import org.cowslipstair.model.config.BackendName;
import org.jboss.logging.Logger;

/** Logs and counts how exchanges went. */
public final class GatewayLog implements ExchangeObserver {
  private static final Logger LOG = Logger.getLogger("exchange");
  private static final long NS_PER_MS = 1_000_000L;
  private final Map<String, LongAdder> counts = new ConcurrentSkipListMap<>();

  @Override
  public void finished(Summary summary) {
    count("requests_total{outcome=\"" + summary.outcome() + "\"}");
    if (!summary.outcome().equals("answered") || summary.status() >= 300) {
      LOG.infof(
          "exchange: id=%s outcome=%s status=%d service=%s sends=%d took_ms=%d",
          summary.requestId().orElse(""),
          summary.outcome(),
          summary.status(),
          summary.service().map(Object::toString).orElse(""),
          summary.sends(),
          summary.tookNs() / NS_PER_MS);
    }
  }

  @Override
  public void sent(Sent sent) {
    count("sends_total{cause=\"" + sent.cause() + "\"}");
  }

  @Override
  public void attemptEnded(
      Optional<String> requestId, BackendName backend, String result, long tookNs) {
    if (!result.startsWith("2")) {
      LOG.infof(
          "exchange: id=%s backend=%s result=%s took_ms=%d",
          requestId.orElse(""), backend, result, tookNs / NS_PER_MS);
    }
  }

  private void count(String name) {
    counts.computeIfAbsent(name, _ -> new LongAdder()).increment();
  }

  /** Returns all counts as text. */
  String metrics() {
    StringBuilder text = new StringBuilder();
    counts.forEach((name, count) -> text.append(name).append(' ').append(count.sum()).append('\n'));
    return text.toString();
  }
}
