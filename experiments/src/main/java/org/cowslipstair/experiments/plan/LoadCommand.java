package org.cowslipstair.experiments.plan;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.nio.file.Path;
import org.cowslipstair.adapters.settings.InvalidFileException;
import org.cowslipstair.experiments.TrialCommand;
import org.cowslipstair.experiments.TrialException;

/** Runs an experiment from a file. */
@Parameters(commandDescription = "compare policies under load, with stand-ins in one process")
public final class LoadCommand extends TrialCommand {
  @Parameter(names = "--experiment", description = "file that describes the experiment")
  private String file = "experiments/plans/shifting.toml";

  @Parameter(names = "--out", description = "directory for tables and charts")
  private String out = "out";

  @Override
  public boolean run() throws TrialException, InterruptedException {
    try {
      Experiment experiment = Experiment.read(Path.of(file));
      ExperimentRun.run(experiment, new ExperimentReport(experiment, Path.of(out)));
      return true;
    } catch (InvalidFileException e) {
      e.faults().forEach(System.err::println);
      return false;
    } catch (IOException e) {
      throw new TrialException(file, e);
    }
  }
}
