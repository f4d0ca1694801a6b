package org.cowslipstair.standins;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.cowslipstair.standins.backend.BackendServerStandin;
import org.cowslipstair.standins.backend.RunRecord;

/** Runs a stand-in for each backend server listed in TOML files, all in one process. */
@Parameters(commandDescription = "run stand-ins of all backend servers listed in TOML files")
final class BackendsCommand {
  @Parameter(
      names = "--from",
      required = true,
      description = "TOML file or directory of TOML files with tables [[backend_server]]")
  private List<Path> paths = new ArrayList<>();

  @ParametersDelegate private final ServiceOptions service = new ServiceOptions();

  void start(PrintStream out) throws IOException, InvalidListException {
    RunRecord runRecord = new RunRecord();
    long seed = service.seed();
    int startedCount = 0;
    for (Path path : paths) {
      for (StandinList.Backend backend : StandinList.readBackends(path)) {
        BackendServerStandin.start(
            new BackendServerStandin.Config(
                backend.name(),
                backend.port(),
                service.behaviour(backend.slots()),
                seed,
                runRecord));
        seed++;
        startedCount++;
      }
    }
    out.printf("backend: %d backend servers started%n", startedCount);
  }
}
