package org.cowslipstair.edge.quota;

import java.io.IOException;

/** A message about quotas cannot be decoded. */
final class MalformedQuotaMessageException extends IOException {
  private static final long serialVersionUID = 1L;

  MalformedQuotaMessageException(String message) {
    super(message);
  }
}
