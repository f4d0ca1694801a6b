package org.cowslipstair.standins.backend;

import java.io.IOException;
import java.io.Serial;
import org.eclipse.jetty.io.QuietException;

/** Thrown when the stand-in closes the connection of a call on purpose. */
final class CallAbortedException extends IOException implements QuietException {
  @Serial private static final long serialVersionUID = 1L;

  CallAbortedException() {
    super("call aborted by the stand-in");
  }
}
