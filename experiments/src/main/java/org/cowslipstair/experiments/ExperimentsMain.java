package org.cowslipstair.experiments;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import java.util.Map;
import org.cowslipstair.experiments.bench.BenchCommand;
import org.cowslipstair.experiments.cost.CostCommand;
import org.cowslipstair.experiments.demo.DemoCommand;
import org.cowslipstair.experiments.plan.LoadCommand;

/** Runs the commands that need the stand-ins. */
public final class ExperimentsMain {
  private static final int EXIT_USAGE = 1;
  private static final int EXIT_FAILED = 2;

  private ExperimentsMain() {}

  /** Parses the command line and runs one command. */
  public static void main(String[] arguments) {
    Map<String, TrialCommand> commands =
        Map.of(
            "demo", new DemoCommand(),
            "load", new LoadCommand(),
            "cost", new CostCommand(),
            "bench", new BenchCommand());
    JCommander.Builder builder = JCommander.newBuilder().programName("cowslipstair");
    commands.forEach(builder::addCommand);
    JCommander commander = builder.build();
    try {
      commander.parse(arguments);
    } catch (ParameterException e) {
      System.err.println(e.getMessage());
      System.exit(EXIT_USAGE);
    }
    TrialCommand command = commands.get(commander.getParsedCommand());
    if (command == null || command.wantsHelp()) {
      commander.usage();
      System.exit(command == null ? EXIT_USAGE : 0);
      return;
    }
    System.exit(run(command));
  }

  private static int run(TrialCommand command) {
    try {
      return command.run() ? 0 : EXIT_FAILED;
    } catch (TrialException e) {
      System.err.println(e.getMessage());
      return EXIT_FAILED;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return EXIT_FAILED;
    }
  }
}
