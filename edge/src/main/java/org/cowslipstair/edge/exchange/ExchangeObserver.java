package org.cowslipstair.edge.exchange;

import java.util.Optional;
import org.cowslipstair.logic.budget.RetryBudget;
import org.cowslipstair.model.config.BackendName;
import org.cowslipstair.model.config.ServiceName;
import org.cowslipstair.model.traffic.Route;

/** Learns how exchanges went, for logs and metrics. Must not block. */
public interface ExchangeObserver {
  /** An exchange has ended. */
  void finished(Summary summary);

  /** A request was sent to a backend server. */
  void sent(Sent sent);

  /** The budget of a service for sends beyond the first of each request is used from now on. */
  void budget(ServiceName service, RetryBudget budget);

  /** A send has ended. */
  void attemptEnded(Optional<String> requestId, BackendName backend, String result, long tookNs);

  /**
   * How an exchange ended.
   *
   * @param route route, empty if none matched
   * @param outcome status of the answer and why, or that the caller left
   * @param sends backend servers that the request was sent to
   * @param detail what decided, where the outcome does not tell
   */
  record Summary(
      Optional<String> requestId,
      Optional<Route> route,
      Optional<ServiceName> service,
      String outcome,
      int status,
      int sends,
      long tookNs,
      String detail) {}

  /**
   * A send.
   *
   * @param cause why: first, retry or hedge
   * @param estimate expected time in multiples of the usual work
   * @param load report that decided, as text
   */
  record Sent(
      Optional<String> requestId,
      BackendName backend,
      String cause,
      double estimate,
      String load,
      long deadlineMs,
      long waitedNs) {}
}
