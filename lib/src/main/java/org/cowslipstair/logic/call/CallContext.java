package org.cowslipstair.logic.call;

import java.io.InputStream;
import java.util.concurrent.atomic.AtomicInteger;
import org.cowslipstair.logic.admission.Admission;
import org.cowslipstair.model.config.RoutingRule;
import org.cowslipstair.model.config.Service;
import org.cowslipstair.port.BackendTransport.CallBody;

/**
 * One call after routing.
 *
 * @param attempts number of attempts so far
 */
record CallContext(
    CallRequest request,
    CallBody body,
    RoutingRule rule,
    Service service,
    Admission admission,
    boolean idempotent,
    long arrivedNs,
    long deadlineNs,
    AtomicInteger attempts) {

  /** Returns whether the body can be sent from its first byte. */
  boolean isBodyIntact() {
    return switch (body) {
      case CallBody.None _, CallBody.Buffered _ -> true;
      case CallBody.Streamed(InputStream stream, long _) ->
          stream instanceof ReadOnceStream once && !once.wasRead();
    };
  }

  /** Returns whether two backend servers may work on the call at once. */
  boolean isHedgeable() {
    return idempotent && service.hedging() && !(body instanceof CallBody.Streamed);
  }
}
