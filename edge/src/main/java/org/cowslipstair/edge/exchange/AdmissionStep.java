package org.cowslipstair.edge.exchange;

import java.util.Optional;
import java.util.OptionalInt;
import org.cowslipstair.model.config.ServiceName;
import org.cowslipstair.model.tenant.Tenant;
import org.cowslipstair.model.traffic.Route;

/**
 * One decision on whether a request is admitted before a backend server is selected for it. A step
 * knows nothing of the others. Used on the event loop only.
 */
public interface AdmissionStep {
  /** Decides now or later; calls the listener once, unless the request has ended before. */
  void decide(Listener listener);

  /** The request has ended, admitted or not; the listener is not called any more. */
  default void onEnded(Ending ending) {}

  /** How a request ended. */
  enum Ending {
    /** It has not run and will not run. */
    NOT_RUN,
    /** It was sent to a backend server, and nothing proves that it did not run. */
    MAY_HAVE_RUN
  }

  /** Receives the decision; exactly one method is called. */
  interface Listener {
    /** The request may go on to the next step. */
    void onAdmitted();

    /** The request is refused and has not run. */
    void onRefused(Refusal.NotRun refusal);
  }

  /** Creates the step of each request. */
  interface Factory {
    /** Creates the step of a request; empty if there is nothing to decide for it. */
    Optional<AdmissionStep> create(Request request);
  }

  /**
   * What a step may know of a request.
   *
   * @param tenant tenant that sent it; empty if it is anonymous or the deployment has no tenants
   * @param service service that it is meant for
   * @param arrivedNs monotonic time at which it arrived
   * @param targetNs monotonic time at which its target latency is reached
   * @param finalNs monotonic time at which its caller gets a response in any case
   * @param serviceTimeNs expected time that a backend server works on it, in nanoseconds
   */
  record Request(
      Optional<Tenant> tenant,
      Route route,
      ServiceName service,
      long arrivedNs,
      long targetNs,
      long finalNs,
      double serviceTimeNs) {
    /** Returns the priority: that of the tenant, else that of the route; 0 is the highest. */
    public int priority() {
      return tenant.map(Tenant::priority).orElse(OptionalInt.empty()).orElse(route.priority());
    }
  }
}
