package org.cowslipstair.standins;

import java.io.Serial;
import java.nio.file.Path;

/** Thrown when a TOML file does not list stand-ins in the expected format. */
final class InvalidListException extends Exception {
  @Serial private static final long serialVersionUID = 1L;

  InvalidListException(Path file, String table, String required) {
    super("%s: table [[%s]] needs %s".formatted(file, table, required));
  }

  InvalidListException(Path file, Throwable cause) {
    super("%s: not TOML: %s".formatted(file, cause.getMessage()), cause);
  }
}
