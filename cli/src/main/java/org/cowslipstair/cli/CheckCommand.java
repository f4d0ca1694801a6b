package org.cowslipstair.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParametersDelegate;
import java.io.IOException;
import java.nio.file.Path;
import org.cowslipstair.adapters.settings.InvalidFileException;
import org.cowslipstair.adapters.settings.ObjectFiles;
import org.cowslipstair.logic.object.ReferenceCheck;

/** Validates object files without access to a store. */
final class CheckCommand implements Command {
  @ParametersDelegate private final CommonOptions common = new CommonOptions();

  @Parameter(names = "-f", required = true, description = "file or directory of files")
  private Path source = Path.of(".");

  @Override
  public String summary() {
    return "validate TOML files without access to a store: check -f DIR|FILE";
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
    session.printer().line("%d objects are valid".formatted(files.objects().size()));
  }

  static ObjectFiles read(Path source) throws CliException {
    try {
      return ObjectFiles.read(source);
    } catch (IOException | InvalidFileException e) {
      throw new CliException.InvalidInput(e);
    }
  }
}
