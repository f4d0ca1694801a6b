package org.cowslipstair.logic.idempotency;

import org.cowslipstair.model.call.NotRunReason;
import org.cowslipstair.model.config.ObjectKey;

/** Result of acquiring an idempotency key for a call. */
public sealed interface KeyAcquisition {
  /**
   * The key was free and is now held by this call.
   *
   * @param version version of the attempt in the store
   * @param changeId identifies the write that acquired the key
   */
  record Acquired(ObjectKey key, long version, String changeId) implements KeyAcquisition {}

  /** The call must not be sent. */
  record Refused(NotRunReason reason) implements KeyAcquisition {}
}
