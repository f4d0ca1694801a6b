package org.cowslipstair.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParametersDelegate;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

/** Checks that the logs of gateways name the cause of every refused or failed request. */
final class AuditLogCommand implements Command {
  @ParametersDelegate private final CommonOptions common = new CommonOptions();

  @Parameter(description = "FILE ...", required = true)
  private List<String> files = new ArrayList<>();

  @Override
  public String summary() {
    return "check that logs name the cause of every failed request: audit-log FILE ...";
  }

  @Override
  public CommonOptions common() {
    return common;
  }

  @Override
  public void run(Session session) throws CliException {
    LogAudit audit = new LogAudit();
    for (String file : files) {
      try (Stream<String> lines = Files.lines(Path.of(file))) {
        audit.addLog(lines);
      } catch (IOException e) {
        throw new CliException.InvalidInput(e);
      }
    }
    List<String> unexplained = audit.unexplained();
    session
        .printer()
        .line(
            "%d refused or failed requests, %d without a cause"
                .formatted(audit.failedCount(), unexplained.size()));
    unexplained.forEach(text -> session.printer().line(text));
  }
}
