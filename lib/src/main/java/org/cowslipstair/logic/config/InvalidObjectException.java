package org.cowslipstair.logic.config;

import java.io.Serial;
import org.cowslipstair.model.config.ObjectKey;

/** A stored object that does not describe a valid object of the configuration. */
public final class InvalidObjectException extends Exception {
  @Serial private static final long serialVersionUID = 1L;
  private final String reason;

  /** Creates the exception; the reason names the field that is wrong. */
  public InvalidObjectException(ObjectKey key, String reason) {
    super("%s is invalid: %s".formatted(key, reason));
    this.reason = reason;
  }

  /** Returns what is wrong with the object. */
  public String reason() {
    return reason;
  }
}
