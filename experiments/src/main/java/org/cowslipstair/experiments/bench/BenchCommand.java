package org.cowslipstair.experiments.bench;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import org.cowslipstair.experiments.TrialCommand;
import org.cowslipstair.experiments.TrialException;
import org.openjdk.jmh.profile.GCProfiler;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.RunnerException;
import org.openjdk.jmh.runner.options.Options;
import org.openjdk.jmh.runner.options.OptionsBuilder;
import org.openjdk.jmh.runner.options.TimeValue;

/** Runs the benchmarks of the request path in this process. */
@Parameters(commandDescription = "run the benchmarks of the request path")
public final class BenchCommand extends TrialCommand {
  @Parameter(names = "--include", description = "pattern of the benchmarks to run")
  private String include = "org.cowslipstair.experiments.bench";

  @Parameter(names = "--threads", description = "number of threads")
  private int threads = 1;

  @Parameter(names = "--seconds", description = "time of each of three iterations")
  private int seconds = 2;

  @Override
  public boolean run() throws TrialException {
    Options options =
        new OptionsBuilder()
            .include(include)
            .forks(0)
            .threads(threads)
            .warmupIterations(2)
            .warmupTime(TimeValue.seconds(seconds))
            .measurementIterations(3)
            .measurementTime(TimeValue.seconds(seconds))
            .addProfiler(GCProfiler.class)
            .build();
    try {
      new Runner(options).run();
      return true;
    } catch (RunnerException e) {
      throw new TrialException("bench", e);
    }
  }
}
