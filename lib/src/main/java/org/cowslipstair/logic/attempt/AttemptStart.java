package org.cowslipstair.logic.attempt;

import org.cowslipstair.model.call.NotRunReason;
import org.cowslipstair.model.config.ObjectKey;

/** Whether a call with an idempotency key may be sent. */
public sealed interface AttemptStart {
  /**
   * The key was unused and is now taken by this call.
   *
   * @param version version of the attempt in the store
   * @param changeId identifies the write that took the key
   */
  record Begun(ObjectKey key, long version, String changeId) implements AttemptStart {}

  /** The call must not be sent. */
  record Refused(NotRunReason reason) implements AttemptStart {}
}
