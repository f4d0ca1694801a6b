package org.cowslipstair.logic.call;

import java.util.Optional;
import org.cowslipstair.logic.stop.PlannedStop;
import org.cowslipstair.model.call.NotRunReason;

/** Callbacks from {@link CallService} to the process that hosts it. Called concurrently. */
public interface CallHooks {
  /**
   * Returns the reason to refuse new calls, for example because the process is stopping or
   * isolated; empty if calls are accepted.
   */
  Optional<NotRunReason> refusalReason();

  /** Returns the planned stop of the process; empty if none has begun. */
  Optional<PlannedStop> plannedStop();

  /** Records a decision about a call, made at the given monotonic time. */
  void onDecision(String requestId, long atNs, CallDecision decision);

  /** Counts a finished call. */
  void onFinished(CallSummary summary);
}
