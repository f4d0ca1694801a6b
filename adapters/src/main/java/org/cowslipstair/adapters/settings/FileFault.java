package org.cowslipstair.adapters.settings;

import org.cowslipstair.logic.object.FieldFault;

/**
 * A fault and where it stands.
 *
 * @param file name of the file
 * @param line line of the file, from 1
 */
public record FileFault(String file, int line, FieldFault fault) {
  @Override
  public String toString() {
    return "%s:%d: %s".formatted(file, line, fault);
  }
}
