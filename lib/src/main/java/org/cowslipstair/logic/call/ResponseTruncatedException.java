package org.cowslipstair.logic.call;

import java.io.IOException;
import java.io.Serial;
import org.cowslipstair.model.config.BackendName;

/** Thrown when a response body ends before the length announced by its head. */
public final class ResponseTruncatedException extends IOException {
  @Serial private static final long serialVersionUID = 1L;

  /** Creates the exception. */
  public ResponseTruncatedException(BackendName backend, long receivedBytes, long expectedBytes) {
    super(
        "response of backend server \"%s\" ended after %d of %d bytes"
            .formatted(backend, receivedBytes, expectedBytes));
  }
}
