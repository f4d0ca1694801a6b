package org.cowslipstair.edge.caller;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.cowslipstair.edge.ProtocolHeaders;
import org.cowslipstair.edge.backend.BackendTable;
import org.cowslipstair.edge.exchange.Exchange;
import org.cowslipstair.edge.exchange.ExchangeContext;
import org.cowslipstair.edge.exchange.ExchangeObserver;
import org.cowslipstair.edge.exchange.Refusal;
import org.cowslipstair.edge.exchange.RefusalWriter;
import org.cowslipstair.edge.exchange.RequestMessage;
import org.cowslipstair.edge.exchange.Responder;
import org.cowslipstair.logic.stop.PlannedStop;
import org.cowslipstair.logic.tenant.KeyCheck;
import org.cowslipstair.model.call.NotRunReason;
import org.cowslipstair.model.tenant.KeyDigest;
import org.cowslipstair.model.tenant.Tenant;
import org.cowslipstair.model.traffic.CallerBounds;
import org.cowslipstair.model.traffic.Route;
import org.cowslipstair.model.traffic.TrafficPlan;
import org.cowslipstair.port.MonotonicClock;

/** State and dependencies shared by the connections of all callers. Used on the event loop only. */
public final class CallerContext {
  private final ExchangeContext exchangeContext;
  private final ExchangeObserver observer;
  private final BackendTable table;
  private final ProtocolHeaders headers;
  private final MonotonicClock clock;
  private final BooleanSupplier isStateCurrent;
  private final BodyMemoryBudget memory;
  private final RefusalWriter refusalWriter;
  private final Set<CallerConnection> connections = new HashSet<>();
  private boolean stopping;

  /**
   * Creates a context.
   *
   * @param isStateCurrent whether there is fresh proof that the state of the table is current
   * @param bodyMemoryBytes maximum memory for request bodies
   */
  public CallerContext(
      ExchangeContext exchangeContext,
      ExchangeObserver observer,
      BackendTable table,
      ProtocolHeaders headers,
      MonotonicClock clock,
      BooleanSupplier isStateCurrent,
      long bodyMemoryBytes) {
    this.exchangeContext = exchangeContext;
    this.observer = observer;
    this.table = table;
    this.headers = headers;
    this.clock = clock;
    this.isStateCurrent = isStateCurrent;
    this.memory = new BodyMemoryBudget(bodyMemoryBytes);
    this.refusalWriter = new RefusalWriter(exchangeContext);
  }

  ProtocolHeaders headers() {
    return headers;
  }

  long nowNs() {
    return clock.nowNs();
  }

  BodyMemoryBudget memory() {
    return memory;
  }

  CallerBounds bounds() {
    return table.state().plan().map(TrafficPlan::bounds).orElse(CallerBounds.defaults());
  }

  boolean isStopping() {
    return stopping;
  }

  void connectionOpened(CallerConnection connection) {
    connections.add(connection);
  }

  void connectionClosed(CallerConnection connection) {
    connections.remove(connection);
  }

  /** Returns the number of open connections. */
  public int connectionCount() {
    return connections.size();
  }

  /** Begins a planned stop: the next response on each connection is the last one. */
  public void beginStop(PlannedStop stop) {
    stopping = true;
    exchangeContext.beginStop(stop);
    connections.forEach(connection -> connection.onStopBegun(stop));
  }

  /** Closes the connections that are waiting for a request. */
  public void closeIdleConnections() {
    List.copyOf(connections).forEach(CallerConnection::closeIfIdle);
  }

  /** Records a request that was rejected because it is malformed, too large or too slow. */
  void recordRejectedRequest(HttpResponseStatus status) {
    observer.onExchangeFinished(
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

  void refuse(
      Responder responder, Refusal refusal, Optional<String> requestId, long callerRemainingNs) {
    refusalWriter.write(responder, refusal, requestId, callerRemainingNs);
    observer.onExchangeFinished(
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

  /** Returns whether the route of a request allows it to be executed more than once. */
  boolean isRepeatable(HttpRequest request) {
    String path = RequestMessage.path(request.uri());
    return table
        .state()
        .plan()
        .flatMap(plan -> plan.route(request.headers().get(HttpHeaderNames.HOST, ""), path))
        .filter(route -> route.kind().isRepeatable())
        .isPresent();
  }

  /**
   * Creates the exchange of a request, or refuses the request and returns empty if there is no
   * configuration, no matching route, or no tenant that holds its key.
   */
  Optional<Exchange> createExchange(RequestMessage message, Responder responder) {
    Optional<TrafficPlan> plan = table.state().plan();
    if (plan.isEmpty()) {
      return refuse(message, responder, NotRunReason.NO_CONFIGURATION);
    }
    Optional<Route> route =
        plan.get().route(message.headers().get(HttpHeaderNames.HOST, ""), message.path());
    if (route.isEmpty()) {
      return refuse(message, responder, NotRunReason.NO_ROUTE);
    }
    List<String> authorization = message.headers().getAll(HttpHeaderNames.AUTHORIZATION);
    return switch (KeyCheck.check(plan.get(), route.get(), authorization, isStateCurrent)) {
      case KeyCheck.Verdict.NotNeeded _ -> create(message, route.get(), responder);
      case KeyCheck.Verdict.Anonymous _ -> {
        message.removeCredentials(headers);
        yield create(message, route.get(), responder);
      }
      case KeyCheck.Verdict.Accepted(Tenant tenant, KeyDigest key) -> {
        message.removeCredentials(headers);
        yield create(message.withTenant(tenant, key), route.get(), responder);
      }
      case KeyCheck.Verdict.Unknown _ -> refuse(message, responder, NotRunReason.UNKNOWN_KEY);
      case KeyCheck.Verdict.Outdated _ ->
          refuse(message, responder, NotRunReason.CONFIGURATION_OUTDATED);
    };
  }

  private Optional<Exchange> create(RequestMessage message, Route route, Responder responder) {
    return Optional.of(new Exchange(exchangeContext, message, route, responder));
  }

  private Optional<Exchange> refuse(
      RequestMessage message, Responder responder, NotRunReason reason) {
    long callerRemainingNs = message.callerDeadlineNs().orElse(message.arrivedNs()) - clock.nowNs();
    message.body().release();
    refuse(responder, new Refusal.NotRun(reason), message.requestId(), callerRemainingNs);
    return Optional.empty();
  }
}
