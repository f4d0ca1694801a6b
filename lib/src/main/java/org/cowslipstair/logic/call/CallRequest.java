package org.cowslipstair.logic.call;

import java.util.List;
import java.util.Optional;
import org.cowslipstair.model.call.HeaderField;
import org.cowslipstair.port.BackendTransport.CallBody;

/**
 * A call as a caller sent it, free of hop-by-hop headers.
 *
 * @param requestId identifies the call; the caller's own, or made by the gateway
 * @param host value of the Host header without its port
 * @param path path without query
 * @param target path and query as sent
 * @param idempotencyKey value of the Idempotency-Key header
 * @param callerDeadlineNs monotonic time at which the caller gives up; {@code Long.MAX_VALUE} if
 *     the caller did not say
 */
public record CallRequest(
    String requestId,
    String method,
    String host,
    String path,
    String target,
    List<HeaderField> headers,
    Optional<String> idempotencyKey,
    CallBody body,
    long callerDeadlineNs) {
  /** Copies the headers. */
  public CallRequest {
    headers = List.copyOf(headers);
  }
}
