package org.cowslipstair.logic.call;

import org.cowslipstair.model.call.MayHaveRunReason;
import org.cowslipstair.model.call.NotRunReason;
import org.cowslipstair.model.config.BackendName;

/** Outcome of one attempt of a call. Only {@link Answered} still holds its slot. */
sealed interface AttemptOutcome {
  /** The response head arrived. A short body of an idempotent call is already buffered. */
  record Answered(TrackedResponse response) implements AttemptOutcome {}

  /** No slot was granted. */
  record NotAdmitted(NotRunReason reason) implements AttemptOutcome {}

  /** The granted slot was no longer usable when the call was about to be sent. */
  record NotStarted(BackendName backend) implements AttemptOutcome {}

  /** No byte of the call was sent. */
  record NotSent(BackendName backend) implements AttemptOutcome {}

  /** The backend server refused the call without running it. */
  record Shed(BackendName backend) implements AttemptOutcome {}

  /** The call was sent and may have run. */
  record Failed(BackendName backend, MayHaveRunReason reason) implements AttemptOutcome {}

  /** The request body could not be read to its end from the caller. */
  record CallerFailed(BackendName backend) implements AttemptOutcome {}

  /** The attempt was cancelled because another attempt won or the caller disconnected. */
  record Cancelled() implements AttemptOutcome {}
}
