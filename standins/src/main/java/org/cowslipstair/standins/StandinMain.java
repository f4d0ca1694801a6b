package org.cowslipstair.standins;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import org.slf4j.LoggerFactory;

/** Command line program that runs stand-ins in a separate process. */
public final class StandinMain {
  private static final int EXIT_USAGE = 1;
  private static final int EXIT_INVALID_INPUT = 2;

  private StandinMain() {}

  /** Starts the stand-ins selected by the arguments and runs until the process is terminated. */
  public static void main(String[] args) throws InterruptedException {
    if (LoggerFactory.getLogger(Logger.ROOT_LOGGER_NAME) instanceof Logger root) {
      root.setLevel(Level.WARN);
    }
    StoreCommand store = new StoreCommand();
    BackendCommand backend = new BackendCommand();
    BackendsCommand backends = new BackendsCommand();
    JCommander commander =
        JCommander.newBuilder()
            .programName("cowslipstair-standin")
            .addCommand("store", store)
            .addCommand("backend", backend)
            .addCommand("backends", backends)
            .build();
    if (args.length > 0 && "--help".equals(args[0])) {
      commander.usage();
      return;
    }
    try {
      commander.parse(args);
      String command = String.valueOf(commander.getParsedCommand());
      switch (command) {
        case "store" -> store.start(System.out);
        case "backend" -> backend.start(System.out);
        case "backends" -> backends.start(System.out);
        default -> {
          commander.usage();
          System.exit(EXIT_USAGE);
        }
      }
    } catch (ParameterException e) {
      System.err.println("cowslipstair-standin: " + e.getMessage());
      System.exit(EXIT_USAGE);
    } catch (IOException | InvalidListException e) {
      System.err.println("cowslipstair-standin: " + e.getMessage());
      System.exit(EXIT_INVALID_INPUT);
    }
    new CountDownLatch(1).await();
  }
}
