package org.cowslipstair.cli;

import java.util.List;

/** Checks the number of arguments. */
final class Arguments {
  private Arguments() {}

  static void requireCount(List<String> arguments, int count, String expected) throws CliException {
    if (arguments.size() != count) {
      throw new CliException.Usage(String.join(" ", arguments), expected);
    }
  }
}
