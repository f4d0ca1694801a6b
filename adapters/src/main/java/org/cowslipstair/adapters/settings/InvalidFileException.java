package org.cowslipstair.adapters.settings;

import java.io.Serial;
import java.util.List;
import java.util.stream.Collectors;

/** Files that are not valid, with every fault that was found. */
public final class InvalidFileException extends Exception {
  @Serial private static final long serialVersionUID = 1L;
  private final transient List<FileFault> faults;

  /** Creates the exception. */
  public InvalidFileException(List<FileFault> faults) {
    super(faults.stream().map(FileFault::toString).collect(Collectors.joining("\n")));
    this.faults = List.copyOf(faults);
  }

  /** Returns all faults. */
  public List<FileFault> faults() {
    return faults;
  }
}
