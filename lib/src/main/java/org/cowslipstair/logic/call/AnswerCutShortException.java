package org.cowslipstair.logic.call;

import java.io.IOException;
import java.io.Serial;
import org.cowslipstair.model.config.BackendName;

/** The body of an answer ended before the length that its head announced. */
public final class AnswerCutShortException extends IOException {
  @Serial private static final long serialVersionUID = 1L;

  /** Creates the exception. */
  public AnswerCutShortException(BackendName backend, long receivedBytes, long expectedBytes) {
    super(
        "answer of backend server \"%s\" ended after %d of %d bytes"
            .formatted(backend, receivedBytes, expectedBytes));
  }
}
