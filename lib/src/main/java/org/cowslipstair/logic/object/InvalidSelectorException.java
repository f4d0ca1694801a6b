package org.cowslipstair.logic.object;

import java.io.Serial;

/** Thrown if the text of a selector has a syntax error. */
public final class InvalidSelectorException extends Exception {
  @Serial private static final long serialVersionUID = 1L;
  private final int column;
  private final String accepted;

  /**
   * Creates the exception.
   *
   * @param column 1-based position of the error
   * @param accepted description of what is accepted at that position
   */
  public InvalidSelectorException(String text, int column, String accepted) {
    super("selector \"%s\" is wrong at column %d; accepted: %s".formatted(text, column, accepted));
    this.column = column;
    this.accepted = accepted;
  }

  /** Returns the 1-based position of the error. */
  public int column() {
    return column;
  }

  /** Returns a description of what is accepted at that position. */
  public String accepted() {
    return accepted;
  }
}
