package org.cowslipstair.standins;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.io.PrintStream;
import org.cowslipstair.standins.backend.BackendServerStandin;
import org.cowslipstair.standins.backend.RunRecord;

/** Runs one stand-in of a backend server. */
@Parameters(commandDescription = "run a stand-in of one backend server")
final class BackendCommand {
  @Parameter(names = "--name", description = "name of the backend server")
  private String name = "backend";

  @Parameter(names = "--port", description = "port to listen on; 0 for any free port")
  private int port;

  @Parameter(names = "--slots", description = "maximum number of concurrent calls")
  private int slots = 3;

  @ParametersDelegate private final ServiceOptions service = new ServiceOptions();

  void start(PrintStream out) {
    BackendServerStandin standin =
        BackendServerStandin.start(
            new BackendServerStandin.Config(
                name, port, service.behaviour(slots), service.seed(), new RunRecord()));
    out.printf("backend: \"%s\" listens on %s%n", name, standin.address());
    out.printf("backend: behaviour at http://%s/-/behaviour%n", standin.address());
  }
}
