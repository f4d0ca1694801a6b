package org.cowslipstair.adapters.peer;

import java.io.Serial;

/** A peer broke the protocol, or refused this gateway. */
public final class ProtocolException extends Exception {
  @Serial private static final long serialVersionUID = 1L;
  private final ProtocolError error;

  /** Creates the exception. */
  public ProtocolException(ProtocolError error, String detail) {
    super("%s: %s".formatted(error, detail));
    this.error = error;
  }

  /** Returns what went wrong. */
  public ProtocolError error() {
    return error;
  }
}
