package org.cowslipstair.logic.call;

import org.cowslipstair.model.call.MayHaveRunReason;
import org.cowslipstair.model.call.NotRunReason;
import org.cowslipstair.model.config.BackendName;

/** How one attempt of a call ended. Only {@link Answered} still holds its slot. */
sealed interface AttemptOutcome {
  /** The head arrived; a short body is in memory already. */
  record Answered(TrackedAnswer answer) implements AttemptOutcome {}

  /** There is no slot. */
  record NotAdmitted(NotRunReason reason) implements AttemptOutcome {}

  /** The slot could not be used any more when the call was about to be sent. */
  record NotStarted(BackendName backend) implements AttemptOutcome {}

  /** No byte of the call was sent. */
  record NotSent(BackendName backend) implements AttemptOutcome {}

  /** The backend server refused the call without running it. */
  record Shed(BackendName backend) implements AttemptOutcome {}

  /** The call was sent and may have run. */
  record Failed(BackendName backend, MayHaveRunReason reason) implements AttemptOutcome {}

  /** The caller's body broke off. */
  record CallerFailed(BackendName backend) implements AttemptOutcome {}

  /** The attempt was cancelled because another one won, or because the caller went away. */
  record Cancelled() implements AttemptOutcome {}
}
