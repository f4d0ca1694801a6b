package org.cowslipstair.logic.call;

import org.cowslipstair.model.call.MayHaveRunReason;
import org.cowslipstair.model.call.NotRunReason;
import org.cowslipstair.port.BackendTransport.BackendResponse;

/** Result of a call as reported to its caller. */
public sealed interface CallResult {
  /**
   * A backend server responded. The receiver streams the body and closes the response, which
   * releases the slot.
   */
  record Answered(BackendResponse response) implements CallResult {}

  /**
   * The call did not run on any backend server.
   *
   * @param retryAfterMs time after which the caller may retry, including jitter; 0 if a retry is of
   *     no use
   */
  record NotRun(NotRunReason reason, long retryAfterMs) implements CallResult {}

  /** The call was sent, and it is unknown whether it ran. */
  record MayHaveRun(MayHaveRunReason reason) implements CallResult {}
}
