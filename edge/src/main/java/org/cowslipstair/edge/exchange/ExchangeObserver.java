package org.cowslipstair.edge.exchange;

import java.util.Optional;
import java.util.function.Supplier;
import org.cowslipstair.logic.budget.RetryBudget;
import org.cowslipstair.model.config.BackendName;
import org.cowslipstair.model.config.ServiceName;
import org.cowslipstair.model.traffic.RequestFingerprint;
import org.cowslipstair.model.traffic.Route;

/**
 * Receives the events of exchanges, for logs and metrics. Called on the event loop; must not block.
 */
public interface ExchangeObserver {
  /** An exchange has ended. */
  void onExchangeFinished(Summary summary);

  /** A request was sent to a backend server. */
  void onRequestSent(Sent sent);

  /** The retry budget of a service was created. */
  void onRetryBudgetCreated(ServiceName service, RetryBudget budget);

  /** The room for waiting requests was created; the supplier returns how many wait. */
  void onWaitingRoomCreated(Supplier<Integer> size);

  /** A request that waited for room looks for it again. */
  void onWaited(ServiceName service, long waitedNs);

  /** A send has ended. */
  void onAttemptEnded(AttemptEnd end);

  /**
   * Summary of a finished exchange.
   *
   * @param route matched route; empty if none matched
   * @param outcome why the exchange ended
   * @param status status of the response
   * @param sendCount number of sends to backend servers
   * @param durationNs time since the request arrived
   * @param detail load of the backend servers considered, if a selection failed; otherwise empty
   */
  record Summary(
      Optional<String> requestId,
      Optional<Route> route,
      Optional<ServiceName> service,
      String outcome,
      int status,
      int sendCount,
      long durationNs,
      String detail) {}

  /**
   * A send of a request to a backend server.
   *
   * @param cause why it was sent: first, retry or hedge
   * @param estimate expected duration in multiples of the usual service time
   * @param load load report that the selection was based on; empty if there was none
   * @param remainingMs time until the deadline
   * @param waitedNs time since the request arrived
   */
  record Sent(
      Optional<String> requestId,
      BackendName backend,
      String cause,
      double estimate,
      String load,
      long remainingMs,
      long waitedNs) {}

  /**
   * The end of a send.
   *
   * @param result status of the response, or why there is none
   * @param fingerprint identifies the request when it comes again; present if the connection ended
   *     while the backend server had the request
   */
  record AttemptEnd(
      Optional<String> requestId,
      BackendName backend,
      String result,
      long durationNs,
      Optional<RequestFingerprint> fingerprint) {}
}
