package org.cowslipstair.edge.relay;

import java.io.Serial;

/** A message of another gateway that cannot be read. */
final class RelayException extends Exception {
  @Serial private static final long serialVersionUID = 1L;

  /** Creates the exception. */
  RelayException(String cause) {
    super("message of another gateway cannot be read: " + cause);
  }
}
