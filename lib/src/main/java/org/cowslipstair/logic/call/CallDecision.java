package org.cowslipstair.logic.call;

import org.cowslipstair.model.call.MayHaveRunReason;
import org.cowslipstair.model.call.NotRunReason;
import org.cowslipstair.model.config.BackendName;
import org.cowslipstair.model.config.RuleName;
import org.cowslipstair.model.config.ServiceName;
import org.cowslipstair.model.pool.CallReport;

/** Decision made while processing a call, recorded so that operators can trace the call. */
public sealed interface CallDecision {
  /** A routing rule matched. */
  record Routed(RuleName rule, ServiceName service, boolean idempotent, long deadlineNs)
      implements CallDecision {}

  /** A slot was granted. */
  record Admitted(BackendName backend, int attempt, long waitNs) implements CallDecision {}

  /** No slot was granted. */
  record NotAdmitted(int attempt, NotRunReason reason) implements CallDecision {}

  /**
   * The granted slot was released unused, because its backend server must not start calls now or
   * the deadline has passed.
   */
  record NotStarted(BackendName backend, int attempt) implements CallDecision {}

  /** The call is being sent. */
  record Sent(BackendName backend, int attempt) implements CallDecision {}

  /** The backend server refused the call without running it. */
  record Shed(BackendName backend, int attempt) implements CallDecision {}

  /** No byte of the call reached the backend server. */
  record NotSent(BackendName backend, int attempt) implements CallDecision {}

  /** The call was sent and got no complete response. */
  record Failed(BackendName backend, int attempt, MayHaveRunReason reason)
      implements CallDecision {}

  /** The call is retried. */
  record Retried(int attempt) implements CallDecision {}

  /**
   * The call is sent to a second backend server, because the first takes longer than most calls.
   */
  record Hedged(int attempt, long delayNs) implements CallDecision {}

  /** The response of this backend server is forwarded. */
  record Answered(BackendName backend, int attempt, int status) implements CallDecision {}

  /** The slot was released. */
  record Released(BackendName backend, int attempt, CallReport report) implements CallDecision {}

  /** The call was refused before it ran. */
  record Refused(NotRunReason reason) implements CallDecision {}

  /** The call was sent and finished without a response. */
  record Unknown(MayHaveRunReason reason) implements CallDecision {}
}
