package org.cowslipstair.adapters.http;

import java.io.IOException;
import java.io.Serial;

/** A pooled connection was closed by its peer, which was seen before a byte was sent. */
final class StaleConnectionException extends IOException {
  @Serial private static final long serialVersionUID = 1L;

  StaleConnectionException() {
    super("pooled connection is stale");
  }
}
