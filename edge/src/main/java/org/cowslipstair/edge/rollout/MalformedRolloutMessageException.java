package org.cowslipstair.edge.rollout;

import java.io.IOException;
import java.io.Serial;

/** Thrown if a frame is no message about a rollout. */
final class MalformedRolloutMessageException extends IOException {
  @Serial private static final long serialVersionUID = 1L;

  MalformedRolloutMessageException(String message) {
    super(message);
  }
}
