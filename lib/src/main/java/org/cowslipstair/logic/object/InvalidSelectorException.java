package org.cowslipstair.logic.object;

import java.io.Serial;

/** A selector that does not follow the syntax. */
public final class InvalidSelectorException extends Exception {
  @Serial private static final long serialVersionUID = 1L;
  private final int column;
  private final String accepted;

  /**
   * Creates the exception.
   *
   * @param column position of the first wrong character, from 1
   */
  public InvalidSelectorException(String text, int column, String accepted) {
    super("selector \"%s\" is wrong at column %d; accepted: %s".formatted(text, column, accepted));
    this.column = column;
    this.accepted = accepted;
  }

  /** Returns the position of the first wrong character, from 1. */
  public int column() {
    return column;
  }

  /** Returns what is accepted at that position. */
  public String accepted() {
    return accepted;
  }
}
