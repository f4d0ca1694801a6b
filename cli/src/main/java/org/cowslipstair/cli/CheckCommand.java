package org.cowslipstair.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParametersDelegate;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.cowslipstair.adapters.platform.HttpPlatformStore;
import org.cowslipstair.adapters.settings.InvalidFileException;
import org.cowslipstair.adapters.settings.ObjectFiles;
import org.cowslipstair.logic.check.Finding;
import org.cowslipstair.logic.check.ObjectCheck;
import org.cowslipstair.logic.object.ReferenceCheck;
import org.cowslipstair.model.config.HostPort;

/**
 * Checks object files before they are sent: errors, entries without effect, contradictions, and on
 * request what differs from the objects in force.
 */
final class CheckCommand implements Command {
  private static final String ADDRESS_SYNTAX = "host:port in --against";

  @ParametersDelegate private final CommonOptions common = new CommonOptions();

  @Parameter(names = "-f", required = true, description = "file or directory of files")
  private Path source = Path.of(".");

  @Parameter(names = "--against", description = "host:port of the store with the objects in force")
  private String against = "";

  @Override
  public String summary() {
    return "check TOML files before they are sent: check -f DIR|FILE [--against STORE]";
  }

  @Override
  public CommonOptions common() {
    return common;
  }

  @Override
  public void run(Session session) throws CliException {
    ObjectFiles files = read(source);
    try {
      files.requireNone(ReferenceCheck.findErrors(files.objects()));
    } catch (InvalidFileException e) {
      throw new CliException.InvalidInput(e);
    }
    List<Finding> findings = new ArrayList<>(ObjectCheck.check(files.objects()));
    if (!against.isEmpty()) {
      findings.addAll(differences(files));
    }
    if (!findings.isEmpty() || session.printer().isJson()) {
      session.printer().rows(List.of("kind", "entry", "finding"), rows(findings));
    }
    requireNoErrors(findings);
    session.printer().line("%d objects are valid".formatted(files.objects().size()));
  }

  private List<Finding> differences(ObjectFiles files) throws CliException {
    HostPort address =
        HostPort.parse(against).orElseThrow(() -> new CliException.Usage(against, ADDRESS_SYNTAX));
    try (HttpPlatformStore store = new HttpPlatformStore(List.of(address))) {
      List<Finding> findings = new ArrayList<>();
      for (ApplyPlan.Step step :
          ApplyPlan.of(files.objects(), new ObjectStore(store).list()).steps()) {
        if (step.isChange()) {
          String text = step.storedVersion() == 0 ? "new" : String.join("; ", step.differences());
          findings.add(new Finding(Finding.Kind.DIFFERENCE, step.key().toString(), text));
        }
      }
      return findings;
    }
  }

  private static List<List<String>> rows(List<Finding> findings) {
    return findings.stream()
        .map(finding -> List.of(finding.kind().label(), finding.subject(), finding.problem()))
        .toList();
  }

  private static void requireNoErrors(List<Finding> findings) throws CliException {
    long errors = findings.stream().filter(finding -> finding.kind() == Finding.Kind.ERROR).count();
    if (errors > 0) {
      throw new CliException.FaultyConfiguration(errors);
    }
  }

  static ObjectFiles read(Path source) throws CliException {
    try {
      return ObjectFiles.read(source);
    } catch (IOException | InvalidFileException e) {
      throw new CliException.InvalidInput(e);
    }
  }
}
