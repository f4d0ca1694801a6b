package org.cowslipstair.logic.admission;

import java.io.Serial;
import org.cowslipstair.model.call.NotRunReason;

/** Thrown when a call was granted no slot; the call did not run. */
public final class NotAdmittedException extends Exception {
  @Serial private static final long serialVersionUID = 1L;
  private final NotRunReason reason;

  /** Creates the exception. */
  public NotAdmittedException(NotRunReason reason) {
    super("call was not admitted: " + reason, null, false, false);
    this.reason = reason;
  }

  /** Returns the reason. */
  public NotRunReason reason() {
    return reason;
  }
}
