package org.cowslipstair.cli;

/** A command of the command line. */
interface Command {
  /** Returns a one-line description of the command and its arguments. */
  String summary();

  /** Returns the options common to all commands. */
  CommonOptions common();

  /** Runs the command. */
  void run(Session session) throws CliException, InterruptedException;
}
