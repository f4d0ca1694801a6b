package org.cowslipstair.cli;

/** A command of the command line. */
interface Command {
  /** What the command does and its arguments, in one line. */
  String summary();

  /** Options that every command has. */
  CommonOptions common();

  /** Runs the command. */
  void run(Session session) throws CliException, InterruptedException;
}
