package org.cowslipstair.edge.quarantine;

import java.io.IOException;

/** A message about suspected requests cannot be decoded. */
final class MalformedQuarantineMessageException extends IOException {
  private static final long serialVersionUID = 1L;

  MalformedQuarantineMessageException(String message) {
    super(message);
  }
}
