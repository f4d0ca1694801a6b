package org.cowslipstair.logic.call;

import org.cowslipstair.model.call.MayHaveRunReason;
import org.cowslipstair.model.call.NotRunReason;
import org.cowslipstair.port.BackendTransport.BackendAnswer;

/** How a call ended, as its caller sees it. */
public sealed interface CallResult {
  /**
   * A backend server answered. The receiver streams the body and closes the answer, which gives the
   * slot back.
   */
  record Answered(BackendAnswer answer) implements CallResult {}

  /**
   * The call did not run on any backend server.
   *
   * @param retryAfterMs time after which the caller may try again, jitter included
   */
  record NotRun(NotRunReason reason, long retryAfterMs) implements CallResult {}

  /** The call was sent, and nobody knows whether it ran. */
  record MayHaveRun(MayHaveRunReason reason) implements CallResult {}
}
