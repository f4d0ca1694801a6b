package org.cowslipstair.gateway;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.cowslipstair.adapters.settings.InvalidFileException;
import org.jspecify.annotations.Nullable;

/** Entry point of the gateway daemon; runs one gateway until the process is terminated. */
public final class GatewayMain {
  private static final int EXIT_USAGE = 1;
  private static final int EXIT_INVALID_SETTINGS = 2;
  private static final int EXIT_START_FAILED = 3;

  @Parameter(names = "--settings", description = "settings file of this gateway", required = true)
  private @Nullable String settingsFile;

  @Parameter(names = "--check", description = "validate the settings and exit")
  private boolean checkOnly;

  @Parameter(names = "--help", description = "show this help", help = true)
  private boolean help;

  private GatewayMain() {}

  /** Runs the daemon; exits with 0, or with 1 to 3 for usage, invalid settings or failed start. */
  public static void main(String[] arguments) throws InterruptedException {
    GatewayMain main = new GatewayMain();
    JCommander commander =
        JCommander.newBuilder().addObject(main).programName("cowslipstair-gateway").build();
    try {
      commander.parse(arguments);
    } catch (ParameterException e) {
      System.err.println(e.getMessage());
      commander.usage();
      System.exit(EXIT_USAGE);
    }
    if (main.help || main.settingsFile == null) {
      commander.usage();
      return;
    }
    System.exit(main.run(main.settingsFile));
  }

  private int run(String file) throws InterruptedException {
    GatewaySettings settings;
    try {
      settings = GatewaySettings.read(Path.of(file));
    } catch (InvalidFileException e) {
      e.faults().forEach(System.err::println);
      return EXIT_INVALID_SETTINGS;
    } catch (IOException e) {
      System.err.printf("settings file \"%s\" cannot be read: %s%n", file, e.getMessage());
      return EXIT_INVALID_SETTINGS;
    }
    if (checkOnly) {
      System.out.printf("settings file \"%s\" is valid%n", file);
      return 0;
    }
    return runUntilStopped(settings);
  }

  private static int runUntilStopped(GatewaySettings settings) throws InterruptedException {
    CountDownLatch stopped = new CountDownLatch(1);
    try {
      GatewayProcess process =
          GatewayProcess.start(settings, System.currentTimeMillis(), List.of());
      Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(process, stopped)));
    } catch (IOException e) {
      System.err.printf("gateway \"%s\" cannot start: %s%n", settings.name(), e.getMessage());
      return EXIT_START_FAILED;
    }
    stopped.await();
    return 0;
  }

  private static void stop(GatewayProcess process, CountDownLatch stopped) {
    try {
      process.stop();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      stopped.countDown();
    }
  }
}
