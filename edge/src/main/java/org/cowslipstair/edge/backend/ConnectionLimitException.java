package org.cowslipstair.edge.backend;

import java.io.Serial;
import org.cowslipstair.model.config.BackendName;

/** This gateway has as many connections to a backend server as it may have. */
public final class ConnectionLimitException extends Exception {
  @Serial private static final long serialVersionUID = 1L;

  /** Creates the exception. */
  ConnectionLimitException(BackendName backend) {
    super("no more connections to backend server \"%s\"".formatted(backend), null, false, false);
  }
}
