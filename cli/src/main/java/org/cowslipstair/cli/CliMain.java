package org.cowslipstair.cli;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import org.slf4j.LoggerFactory;

/** Entry point of the operators' command line. */
public final class CliMain {
  private CliMain() {}

  /** Runs a command and exits with its exit code. */
  public static void main(String[] args) throws InterruptedException {
    if (LoggerFactory.getLogger(Logger.ROOT_LOGGER_NAME) instanceof Logger root) {
      root.setLevel(Level.WARN);
    }
    System.exit(new Cli(System.out, System.err, System.getenv()).run(args).number());
  }
}
