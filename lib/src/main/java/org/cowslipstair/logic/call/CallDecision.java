package org.cowslipstair.logic.call;

import org.cowslipstair.model.call.MayHaveRunReason;
import org.cowslipstair.model.call.NotRunReason;
import org.cowslipstair.model.config.BackendName;
import org.cowslipstair.model.config.RuleName;
import org.cowslipstair.model.config.ServiceName;
import org.cowslipstair.model.pool.CallReport;

/** One step in the life of a call, recorded so that operators can follow it. */
public sealed interface CallDecision {
  /** A routing rule matched. */
  record Routed(RuleName rule, ServiceName service, boolean idempotent, long deadlineNs)
      implements CallDecision {}

  /** A slot was granted. */
  record Admitted(BackendName backend, int attempt, long waitNs) implements CallDecision {}

  /** No slot was granted. */
  record NotAdmitted(int attempt, NotRunReason reason) implements CallDecision {}

  /** The granted slot was given back unused, for its backend server may not start calls now. */
  record NotStarted(BackendName backend, int attempt) implements CallDecision {}

  /** The call is being sent. */
  record Sent(BackendName backend, int attempt) implements CallDecision {}

  /** The backend server refused the call without running it. */
  record Shed(BackendName backend, int attempt) implements CallDecision {}

  /** No byte of the call reached the backend server. */
  record NotSent(BackendName backend, int attempt) implements CallDecision {}

  /** The call was sent and got no whole answer. */
  record Failed(BackendName backend, int attempt, MayHaveRunReason reason)
      implements CallDecision {}

  /** The call is tried again. */
  record Retried(int attempt) implements CallDecision {}

  /** A second backend server is asked, as the first takes longer than most calls. */
  record Hedged(int attempt, long delayNs) implements CallDecision {}

  /** The answer of this backend server is passed on. */
  record Answered(BackendName backend, int attempt, int status) implements CallDecision {}

  /** The slot was given back. */
  record Released(BackendName backend, int attempt, CallReport report) implements CallDecision {}

  /** The call was refused before it ran. */
  record Refused(NotRunReason reason) implements CallDecision {}

  /** The call ended without an answer after it was sent. */
  record Unknown(MayHaveRunReason reason) implements CallDecision {}
}
