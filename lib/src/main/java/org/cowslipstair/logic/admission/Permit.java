package org.cowslipstair.logic.admission;

import org.cowslipstair.model.config.BackendServer;
import org.cowslipstair.model.pool.CallReport;

/** A slot of a backend server, held by one call. */
public interface Permit {
  /** Returns the backend server. */
  BackendServer backend();

  /**
   * Returns whether a call may still be sent: the slot is held, and neither the backend server nor
   * its zone is leaving. Checked just before sending.
   */
  boolean canStartCall();

  /** Returns the monotonic time at which the permit expires, in nanoseconds. */
  long expiresAtNs();

  /** Releases the slot; only the first invocation has an effect. */
  void release(CallReport report);
}
