package org.cowslipstair.cli;

/** Exit codes of the command line. */
public enum ExitCode {
  OK(0),
  USAGE(1),
  INVALID_INPUT(2),
  CONFLICT(3),
  STORE_UNAVAILABLE(4),
  NOT_IN_FORCE(5),
  NOT_FOUND(6);

  private final int number;

  ExitCode(int number) {
    this.number = number;
  }

  /** Returns the exit status of the process. */
  public int number() {
    return number;
  }
}
