package org.cowslipstair.logic.config;

import java.io.Serial;
import org.cowslipstair.model.config.ObjectKey;

/** Thrown if a stored object is not a valid configuration object. */
public final class InvalidObjectException extends Exception {
  @Serial private static final long serialVersionUID = 1L;
  private final String reason;

  /** Creates the exception; the reason names the invalid field. */
  public InvalidObjectException(ObjectKey key, String reason) {
    super("%s is invalid: %s".formatted(key, reason));
    this.reason = reason;
  }

  /** Returns why the object is invalid. */
  public String reason() {
    return reason;
  }
}
