package org.cowslipstair.edge.permit;

import java.io.IOException;

/** A message about permits cannot be decoded. */
final class MalformedPermitMessageException extends IOException {
  private static final long serialVersionUID = 1L;

  MalformedPermitMessageException(String message) {
    super(message);
  }
}
