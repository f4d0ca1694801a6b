package org.cowslipstair.logic.call;

import java.util.Optional;
import org.cowslipstair.model.call.NotRunReason;

/** What the process around {@link CallService} adds to it. Called by many threads at once. */
public interface CallHooks {
  /** Returns why new work is refused, as while the process stops or is isolated. */
  Optional<NotRunReason> refusal();

  /** Records a decision about a call. */
  void decided(String requestId, long atNs, CallDecision decision);

  /** Counts a call whose result is known. */
  void finished(CallSummary summary);
}
