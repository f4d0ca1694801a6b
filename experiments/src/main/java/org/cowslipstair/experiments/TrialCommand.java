package org.cowslipstair.experiments;

import com.beust.jcommander.Parameter;

/** A command of the command line that runs a trial. */
public abstract class TrialCommand {
  @Parameter(names = "--help", description = "show this help", help = true)
  private boolean help;

  /** Returns whether only the help was asked for. */
  public final boolean wantsHelp() {
    return help;
  }

  /** Runs the trial and returns whether everything held. */
  public abstract boolean run() throws TrialException, InterruptedException;
}
