package org.cowslipstair.cli;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import java.io.PrintStream;
import java.util.LinkedHashMap;
import java.util.Map;

/** Parses arguments and runs one command; can be embedded in another process. */
public final class Cli {
  private static final String PROGRAM = "cowslipstair";
  private static final String EXIT_CODES =
      """
      Exit codes: 0 success, 1 invalid usage, 2 invalid input, 3 conflicting change,
      4 store unavailable, 5 not in force within the wait, 6 not found
      """;

  private final PrintStream out;
  private final PrintStream err;
  private final Map<String, String> environment;

  /** Creates a command line that writes to two streams. */
  public Cli(PrintStream out, PrintStream err, Map<String, String> environment) {
    this.out = out;
    this.err = err;
    this.environment = Map.copyOf(environment);
  }

  private static Map<String, Command> commands() {
    Map<String, Command> commands = new LinkedHashMap<>();
    commands.put("apply", new ApplyCommand());
    commands.put("check", new CheckCommand());
    commands.put("get", new GetCommand());
    commands.put("describe", new DescribeCommand());
    commands.put("delete", new DeleteCommand());
    commands.put("label", new LabelCommand());
    commands.put("zone", new StateCommand(StateCommand.Target.ZONE));
    commands.put("backend", new StateCommand(StateCommand.Target.BACKEND));
    commands.put("status", new StatusCommand());
    commands.put("dump", new DumpCommand());
    commands.put("explain", new ExplainCommand());
    commands.put("explain-log", new ExplainLogCommand());
    commands.put("audit-log", new AuditLogCommand());
    commands.put("crash-log", new CrashLogCommand());
    commands.put("quarantine", new QuarantineCommand());
    commands.put("store", new StoreCommand());
    return commands;
  }

  /** Runs the command named by the first argument and returns its exit code. */
  public ExitCode run(String... arguments) throws InterruptedException {
    Map<String, Command> commands = commands();
    JCommander.Builder builder = JCommander.newBuilder().programName(PROGRAM);
    commands.forEach(builder::addCommand);
    JCommander commander = builder.build();
    if (arguments.length == 0 || "help".equals(arguments[0]) || "--help".equals(arguments[0])) {
      printSummaries(commands);
      return arguments.length == 0 ? ExitCode.USAGE : ExitCode.OK;
    }
    try {
      commander.parse(arguments);
    } catch (ParameterException e) {
      err.println(PROGRAM + ": " + e.getMessage());
      return ExitCode.USAGE;
    }
    String name = commander.getParsedCommand();
    Command command = commands.get(name);
    if (command == null) {
      printSummaries(commands);
      return ExitCode.USAGE;
    }
    if (command.common().isHelp()) {
      out.println(command.summary());
      printUsage(commander.getCommands().get(name));
      return ExitCode.OK;
    }
    return run(command);
  }

  private ExitCode run(Command command) throws InterruptedException {
    Printer printer = new Printer(out, err, command.common().output());
    try (Session session = new Session(command.common(), printer, environment)) {
      command.run(session);
      return ExitCode.OK;
    } catch (CliException e) {
      err.println(PROGRAM + ": " + e.getMessage());
      return e.exitCode();
    }
  }

  private void printSummaries(Map<String, Command> commands) {
    out.printf("Usage: %s COMMAND [ARGUMENT ...] [OPTION ...]%n%n", PROGRAM);
    commands.forEach((name, command) -> out.printf("  %-13s%s%n", name, command.summary()));
    out.printf("  %-13s%s%n", "demo", "run a whole fleet in one process and check its invariants");
    out.printf("  %-13s%s%n%n", "load", "run experiments and compare policies");
    out.printf("Options of a command: %s COMMAND --help%n", PROGRAM);
    out.print(EXIT_CODES);
  }

  private void printUsage(JCommander commander) {
    StringBuilder text = new StringBuilder();
    commander.getUsageFormatter().usage(text);
    out.print(text);
    out.print(EXIT_CODES);
  }
}
