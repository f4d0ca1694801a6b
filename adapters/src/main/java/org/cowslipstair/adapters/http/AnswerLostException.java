package org.cowslipstair.adapters.http;

import java.io.IOException;
import java.io.Serial;

/** The body of an answer broke off before the caller was sent anything of it. */
final class AnswerLostException extends Exception {
  @Serial private static final long serialVersionUID = 1L;

  AnswerLostException(IOException cause) {
    super(cause);
  }
}
