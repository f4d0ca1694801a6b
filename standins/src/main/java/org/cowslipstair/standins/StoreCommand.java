package org.cowslipstair.standins;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import org.cowslipstair.standins.store.StoreServer;
import org.jspecify.annotations.Nullable;

/** Runs a stand-in of the platform's store. */
@Parameters(commandDescription = "run a stand-in of the platform's store")
final class StoreCommand {
  @Parameter(names = "--port", description = "port to listen on; 0 for any free port")
  private int port = 7400;

  @Parameter(
      names = "--instances",
      description = "TOML file with a table [[instance]] for each gateway of the instance list")
  private @Nullable Path instancesFile;

  void start(PrintStream out) throws IOException, InvalidListException {
    StoreServer server = StoreServer.start(port);
    if (instancesFile != null) {
      server.replaceInstances(StandinList.readInstances(instancesFile));
    }
    out.printf("store: listens on %s; faults at http://%<s/-/faults%n", server.address());
  }
}
