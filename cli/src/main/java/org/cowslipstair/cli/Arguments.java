package org.cowslipstair.cli;

import java.util.List;

/** Checks the number of arguments. */
final class Arguments {
  private Arguments() {}

  static void require(List<String> arguments, int count, String accepted) throws CliException {
    if (arguments.size() != count) {
      throw new CliException.Usage(String.join(" ", arguments), accepted);
    }
  }
}
