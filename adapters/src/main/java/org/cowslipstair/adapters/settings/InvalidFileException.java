package org.cowslipstair.adapters.settings;

import java.io.Serial;
import java.util.List;
import java.util.stream.Collectors;

/** Files that are not valid, with every error that was found. */
public final class InvalidFileException extends Exception {
  @Serial private static final long serialVersionUID = 1L;
  private final transient List<FileError> errors;

  /** Creates the exception. */
  public InvalidFileException(List<FileError> errors) {
    super(errors.stream().map(FileError::toString).collect(Collectors.joining("\n")));
    this.errors = List.copyOf(errors);
  }

  /** Returns all errors. */
  public List<FileError> faults() {
    return errors;
  }
}
