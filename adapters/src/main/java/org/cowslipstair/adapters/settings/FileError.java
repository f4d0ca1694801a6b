package org.cowslipstair.adapters.settings;

import org.cowslipstair.logic.object.FieldError;

/**
 * An error and where it stands.
 *
 * @param file name of the file
 * @param line line of the file, from 1
 */
public record FileError(String file, int line, FieldError fault) {
  @Override
  public String toString() {
    return "%s:%d: %s".formatted(file, line, fault);
  }
}
