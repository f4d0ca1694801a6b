package org.cowslipstair.edge.backend;

import java.io.Serial;
import org.cowslipstair.model.config.BackendName;

/** This gateway has reached its limit of connections to a backend server. */
public final class ConnectionLimitException extends Exception {
  @Serial private static final long serialVersionUID = 1L;

  /** Creates the exception. */
  ConnectionLimitException(BackendName backend) {
    super(
        "connection limit of backend server \"%s\" is reached".formatted(backend),
        null,
        false,
        false);
  }
}
