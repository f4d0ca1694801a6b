package org.cowslipstair.cli;

import com.beust.jcommander.Parameter;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;

/** Options common to all commands. */
final class CommonOptions {
  @Parameter(
      names = "--store",
      description = "host:port of the platform's store, repeatable; default: COWSLIPSTAIR_STORE")
  private List<String> stores = new ArrayList<>();

  @Parameter(names = "--settings", description = "TOML file with store_addresses = [\"host:port\"]")
  private @Nullable Path settings;

  @Parameter(names = "-o", description = "output format")
  private OutputFormat output = OutputFormat.table;

  @Parameter(
      names = "--wait",
      arity = 1,
      description = "wait until every live gateway has a change in force")
  private boolean wait = true;

  @Parameter(names = "--wait-seconds", description = "maximum wait in seconds")
  private int waitSeconds = 30;

  @Parameter(names = "--help", help = true, description = "show the options of the command")
  private boolean help;

  /** Output formats. */
  enum OutputFormat {
    table,
    json
  }

  List<String> stores() {
    return stores;
  }

  @Nullable Path settings() {
    return settings;
  }

  OutputFormat output() {
    return output;
  }

  boolean isWaiting() {
    return wait;
  }

  int waitSeconds() {
    return waitSeconds;
  }

  boolean isHelp() {
    return help;
  }
}
