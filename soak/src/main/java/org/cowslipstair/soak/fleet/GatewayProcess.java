package org.cowslipstair.soak.fleet;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.cowslipstair.soak.Bounds;
import org.cowslipstair.soak.check.Violations;
import org.cowslipstair.soak.fleet.SystemUnderTest.GatewayPlace;
import org.cowslipstair.soak.net.FaultyLink;
import org.cowslipstair.soak.net.HttpAnswer;
import org.cowslipstair.soak.net.HttpStream;

/** One daemon as a process of its own, with a link of its own to the store. */
public final class GatewayProcess implements AutoCloseable {
  private static final long RESTART_MS = 200;
  private static final long READ_TIMEOUT_MS = 1_000;
  private static final int OK = 200;

  private final SystemUnderTest system;
  private final GatewayPlace place;
  private final FaultyLink storeLink;
  private final Violations violations;
  private final Path settings;
  private final Path log;
  private volatile Process process;
  private volatile boolean closed;
  private volatile boolean stopping;
  private volatile int misses;
  private volatile long version;

  /** Starts a daemon; its files go into the directory. */
  public GatewayProcess(
      SystemUnderTest system,
      GatewayPlace place,
      FaultyLink storeLink,
      Bounds bounds,
      Violations violations,
      Path directory)
      throws IOException {
    this.system = system;
    this.place = place;
    this.storeLink = storeLink;
    this.violations = violations;
    this.settings = directory.resolve(place.name() + ".toml");
    this.log = directory.resolve(place.name() + ".log");
    Files.writeString(settings, system.settings(place, bounds));
    start();
    Thread.ofVirtual().start(this::observe);
  }

  private void start() throws IOException {
    version = 0;
    stopping = false;
    process =
        new ProcessBuilder(system.command(settings))
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
            .start();
  }

  /** Returns the name. */
  public String name() {
    return place.name();
  }

  /** Returns the zone. */
  public String zone() {
    return place.zone();
  }

  /** Returns the port for callers. */
  public int callerPort() {
    return place.callerPort();
  }

  /** Returns the link to the store. */
  public FaultyLink storeLink() {
    return storeLink;
  }

  /** Returns whether the balancer sends new connections here. */
  public boolean isInRotation() {
    return misses < 2;
  }

  /** Returns whether a planned stop goes on. */
  public boolean isStopping() {
    return stopping;
  }

  /** Returns the newest configuration that it said to have in force in this life. */
  public long version() {
    return version;
  }

  /** Returns the process id. */
  public long pid() {
    return process.pid();
  }

  /** Returns the file that its output goes to. */
  public Path log() {
    return log;
  }

  /** Sends a signal. */
  public void signal(String name) throws IOException, InterruptedException {
    if (name.equals("TERM")) {
      stopping = true;
    }
    new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
  }

  /** Writes the settings file anew. */
  public void touchSettings(Bounds bounds) throws IOException {
    Files.writeString(settings, system.settings(place, bounds));
  }

  /** Asks what the balancer would ask, and for the state; starts the process again if it ended. */
  private void observe() {
    try {
      while (!closed) {
        if (!process.isAlive()) {
          misses = 2;
          TimeUnit.MILLISECONDS.sleep(RESTART_MS);
          if (!closed) {
            start();
          }
        }
        observeOnce(process);
        TimeUnit.MILLISECONDS.sleep(RESTART_MS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (IOException e) {
      violations.add(System.nanoTime(), "start", place.name() + ": " + e.getMessage());
    }
  }

  private void observeOnce(Process observed) {
    try (HttpStream stream = HttpStream.open(place.readyPort())) {
      stream.readTimeout(READ_TIMEOUT_MS);
      Map<String, String> headers = Map.of("Host", place.name());
      stream.request("GET", "/readyz", headers, new byte[0]);
      misses = stream.readAnswer().status() == OK ? 0 : misses + 1;
      stream.request("GET", "/state", headers, new byte[0]);
      HttpAnswer dump = stream.readAnswer();
      if (dump.status() == OK && observed == process) {
        observeVersion(system.version(new String(dump.body())));
      }
    } catch (IOException e) {
      misses++;
    }
  }

  private void observeVersion(long newer) {
    if (newer < version) {
      violations.add(
          System.nanoTime(),
          "configuration never reverts",
          "%s went from %d to %d".formatted(place.name(), version, newer));
    }
    version = Math.max(version, newer);
  }

  /** Returns the lines of the log that say that the daemon's own checks failed. */
  public List<String> ownViolations() throws IOException {
    return Files.readAllLines(log).stream()
        .filter(line -> line.contains("invariant: violated"))
        .toList();
  }

  @Override
  public void close() throws IOException {
    closed = true;
    process.destroyForcibly();
    storeLink.close();
  }
}
