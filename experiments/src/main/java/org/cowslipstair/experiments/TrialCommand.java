package org.cowslipstair.experiments;

/** A command of the command line that runs a trial. */
public interface TrialCommand {
  /** Returns whether only the help was asked for. */
  boolean wantsHelp();

  /** Runs the trial and returns whether everything held. */
  boolean run() throws TrialException, InterruptedException;
}
