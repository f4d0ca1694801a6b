package org.cowslipstair.logic.call;

import java.io.InputStream;
import java.util.concurrent.atomic.AtomicInteger;
import org.cowslipstair.logic.admission.Admission;
import org.cowslipstair.model.config.RoutingRule;
import org.cowslipstair.model.config.Service;
import org.cowslipstair.port.BackendTransport.BackendRequestBody;

/**
 * A routed call.
 *
 * @param attempts number of attempts started so far
 */
record CallContext(
    CallRequest request,
    BackendRequestBody body,
    RoutingRule rule,
    Service service,
    Admission admission,
    boolean idempotent,
    long arrivedNs,
    long deadlineNs,
    AtomicInteger attempts) {

  /** Returns whether the request body can be sent from its first byte. */
  boolean isBodyReplayable() {
    return switch (body) {
      case BackendRequestBody.None _, BackendRequestBody.Buffered _ -> true;
      case BackendRequestBody.Streamed(InputStream stream, long _) ->
          stream instanceof ReadTrackingStream tracked && !tracked.hasBeenRead();
    };
  }

  /** Returns whether two backend servers may process the call at the same time. */
  boolean isHedgeable() {
    return idempotent && service.hedging() && !(body instanceof BackendRequestBody.Streamed);
  }
}
