package org.cowslipstair.experiments;

import java.io.Serial;

/** A trial that could not be run. */
public final class TrialException extends Exception {
  @Serial private static final long serialVersionUID = 1L;

  /** Creates the exception. */
  public TrialException(String trial, Throwable cause) {
    super("trial \"%s\" could not be run: %s".formatted(trial, cause.getMessage()), cause);
  }
}
