package org.cowslipstair.edge.relay;

import java.io.Serial;

/** Thrown when a message from another gateway cannot be decoded. */
final class RelayException extends Exception {
  @Serial private static final long serialVersionUID = 1L;

  /** Creates the exception. */
  RelayException(String reason) {
    super("message from another gateway cannot be decoded: " + reason);
  }
}
