package org.cowslipstair.edge.caller;

import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.cowslipstair.edge.ProtocolHeaders;
import org.cowslipstair.edge.backend.BackendTable;
import org.cowslipstair.edge.exchange.Exchange;
import org.cowslipstair.edge.exchange.ExchangeContext;
import org.cowslipstair.edge.exchange.ExchangeObserver;
import org.cowslipstair.edge.exchange.Refusal;
import org.cowslipstair.edge.exchange.Refusals;
import org.cowslipstair.edge.exchange.RequestMessage;
import org.cowslipstair.edge.exchange.Responder;
import org.cowslipstair.model.call.NotRunReason;
import org.cowslipstair.model.traffic.CallerBounds;
import org.cowslipstair.model.traffic.Route;
import org.cowslipstair.model.traffic.TrafficPlan;
import org.cowslipstair.port.MonotonicClock;

/** What the connections of all callers share. Lives on the event loop. */
public final class CallerContext {
  private final ExchangeContext exchanges;
  private final ExchangeObserver observer;
  private final BackendTable table;
  private final ProtocolHeaders headers;
  private final MonotonicClock clock;
  private final BodyMemory memory;
  private final Refusals refusals;
  private final Set<CallerConnection> connections = new HashSet<>();
  private boolean stopping;

  /**
   * Creates a context.
   *
   * @param bodyBytes most bytes of request bodies in memory
   */
  public CallerContext(
      ExchangeContext exchanges,
      ExchangeObserver observer,
      BackendTable table,
      ProtocolHeaders headers,
      MonotonicClock clock,
      long bodyBytes) {
    this.exchanges = exchanges;
    this.observer = observer;
    this.table = table;
    this.headers = headers;
    this.clock = clock;
    this.memory = new BodyMemory(bodyBytes);
    this.refusals = new Refusals(exchanges);
  }

  ProtocolHeaders headers() {
    return headers;
  }

  long nowNs() {
    return clock.nowNs();
  }

  BodyMemory memory() {
    return memory;
  }

  CallerBounds bounds() {
    return table.state().plan().map(TrafficPlan::bounds).orElse(CallerBounds.defaults());
  }

  boolean isStopping() {
    return stopping;
  }

  void opened(CallerConnection connection) {
    connections.add(connection);
  }

  void closed(CallerConnection connection) {
    connections.remove(connection);
  }

  /** Returns the number of open connections. */
  public int connections() {
    return connections.size();
  }

  /** From now on every answer ends its connection. */
  public void stopping() {
    stopping = true;
    connections.forEach(CallerConnection::closeAfterAnswer);
  }

  /** Closes the connections that wait for a request. */
  public void closeIdle() {
    List.copyOf(connections).forEach(CallerConnection::closeIfIdle);
  }

  /** Counts a request that was refused for its form. */
  void inputRefused(HttpResponseStatus status) {
    observer.finished(
        new ExchangeObserver.Summary(
            Optional.empty(),
            Optional.empty(),
            Optional.empty(),
            "bad_request",
            status.code(),
            0,
            0,
            ""));
  }

  void refuse(Responder responder, Refusal refusal, Optional<String> requestId, long callerLeftNs) {
    refusals.write(responder, refusal, requestId, callerLeftNs);
    observer.finished(
        new ExchangeObserver.Summary(
            requestId,
            Optional.empty(),
            Optional.empty(),
            refusal.reasonName(),
            refusal.status().code(),
            0,
            0,
            ""));
  }

  /** Creates the exchange of a request, or answers the request at once. */
  Optional<Exchange> exchange(RequestMessage message, Responder responder) {
    Optional<TrafficPlan> plan = table.state().plan();
    Optional<Route> route =
        plan.flatMap(p -> p.route(message.headers().get("host", ""), message.path()));
    if (route.isPresent()) {
      return Optional.of(new Exchange(exchanges, message, route.get(), responder));
    }
    NotRunReason reason = plan.isEmpty() ? NotRunReason.NO_CONFIGURATION : NotRunReason.NO_ROUTE;
    long leftNs = message.callerDeadlineNs().orElse(message.arrivedNs()) - clock.nowNs();
    message.body().release();
    refuse(responder, new Refusal.NotRun(reason), message.requestId(), leftNs);
    return Optional.empty();
  }
}
