package org.cowslipstair.cli;

/** A command of the command line. */
interface Command {
  /** Options that every command has. */
  CommonOptions common();

  /** Runs the command. */
  void run(Session session) throws CliException, InterruptedException;
}
