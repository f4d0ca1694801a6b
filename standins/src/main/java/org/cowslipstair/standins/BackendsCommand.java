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

/** Runs a stand-in for each backend server that TOML files name, all in one process. */
@Parameters(commandDescription = "run stand-ins of all backend servers that TOML files name")
final class BackendsCommand {
  @Parameter(
      names = "--from",
      required = true,
      description = "file or directory of files with tables [[backend_server]]")
  private List<Path> from = new ArrayList<>();

  @ParametersDelegate private final ServiceOptions service = new ServiceOptions();

  void start(PrintStream out) throws IOException, InvalidListException {
    RunRecord record = new RunRecord();
    long seed = service.seed();
    int started = 0;
    for (Path path : from) {
      for (StandinList.Backend backend : StandinList.backends(path)) {
        BackendServerStandin.start(
            new BackendServerStandin.Config(
                backend.name(), backend.port(), service.behaviour(backend.slots()), seed, record));
        seed++;
        started++;
      }
    }
    out.printf("backend: %d backend servers started%n", started);
  }
}
