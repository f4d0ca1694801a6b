package org.cowslipstair.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParametersDelegate;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

/** Shows from the logs of gateways which requests ended connections of which backend servers. */
final class CrashLogCommand implements Command {
  @ParametersDelegate private final CommonOptions common = new CommonOptions();

  @Parameter(description = "FILE ...", required = true)
  private List<String> files = new ArrayList<>();

  @Override
  public String summary() {
    return "show from logs which requests ended connections of which servers: crash-log FILE ...";
  }

  @Override
  public CommonOptions common() {
    return common;
  }

  @Override
  public void run(Session session) throws CliException {
    CrashLog crashes = new CrashLog();
    for (String file : files) {
      try (Stream<String> lines = Files.lines(Path.of(file))) {
        crashes.addLog(lines);
      } catch (IOException e) {
        throw new CliException.InvalidInput(e);
      }
    }
    crashes.requests().forEach(line -> session.printer().line(line));
    crashes.backends().forEach(line -> session.printer().line(line));
  }
}
