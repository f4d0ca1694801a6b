package org.cowslipstair.standins;

import java.io.Serial;
import java.nio.file.Path;

/** A TOML file that does not list stand-ins as expected. */
final class InvalidListException extends Exception {
  @Serial private static final long serialVersionUID = 1L;

  InvalidListException(Path file, String table, String accepted) {
    super("%s: table [[%s]] needs %s".formatted(file, table, accepted));
  }

  InvalidListException(Path file, Throwable cause) {
    super("%s: not TOML: %s".formatted(file, cause.getMessage()), cause);
  }
}
