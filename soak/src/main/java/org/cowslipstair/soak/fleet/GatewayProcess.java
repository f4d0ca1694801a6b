package org.cowslipstair.soak.fleet;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.cowslipstair.soak.Limits;
import org.cowslipstair.soak.check.Violations;
import org.cowslipstair.soak.fleet.SystemUnderTest.GatewaySpec;
import org.cowslipstair.soak.net.FaultyLink;
import org.cowslipstair.soak.net.HttpConnection;
import org.cowslipstair.soak.net.HttpResponse;

/** A daemon that runs in its own process, with its own link to the store. */
public final class GatewayProcess implements AutoCloseable {
  private static final long RESTART_MS = 200;
  private static final long READ_TIMEOUT_MS = 1_000;
  private static final int OK = 200;

  private final SystemUnderTest system;
  private final GatewaySpec spec;
  private final FaultyLink storeLink;
  private final FaultyLink peerLink;
  private final Violations violations;
  private final Path settings;
  private final Path log;
  private volatile Process process;
  private volatile boolean closed;
  private volatile boolean stopping;
  private volatile int failedProbes;
  private volatile long version;

  /** Starts a daemon that writes its files to the directory. */
  public GatewayProcess(
      SystemUnderTest system,
      GatewaySpec spec,
      FaultyLink storeLink,
      FaultyLink peerLink,
      Limits limits,
      Violations violations,
      Path directory)
      throws IOException {
    this.system = system;
    this.spec = spec;
    this.storeLink = storeLink;
    this.peerLink = peerLink;
    this.violations = violations;
    this.settings = directory.resolve(spec.name() + ".toml");
    this.log = directory.resolve(spec.name() + ".log");
    Files.writeString(settings, system.settings(spec, limits));
    start();
    Thread.ofVirtual().start(this::monitor);
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
    return spec.name();
  }

  /** Returns the zone. */
  public String zone() {
    return spec.zone();
  }

  /** Returns the port for callers. */
  public int callerPort() {
    return spec.callerPort();
  }

  /** Returns the link to the store. */
  public FaultyLink storeLink() {
    return storeLink;
  }

  /** Returns the link over which the other daemons reach this one. */
  public FaultyLink peerLink() {
    return peerLink;
  }

  /** Returns whether a balancer in front would send new connections to this gateway. */
  public boolean isInRotation() {
    return failedProbes < 2;
  }

  /** Returns whether a planned stop is in progress. */
  public boolean isStopping() {
    return stopping;
  }

  /** Returns the newest configuration version reported as in force since the process started. */
  public long version() {
    return version;
  }

  /** Returns the process id. */
  public long pid() {
    return process.pid();
  }

  /** Returns the file that receives the output of the process. */
  public Path log() {
    return log;
  }

  /** Sends a signal to the process. */
  public void signal(String name) throws IOException, InterruptedException {
    if (name.equals("TERM")) {
      stopping = true;
    }
    new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
  }

  /** Rewrites the settings file. */
  public void rewriteSettings(Limits limits) throws IOException {
    Files.writeString(settings, system.settings(spec, limits));
  }

  /**
   * Polls readiness, as a balancer in front would, and state; restarts the process after it exits.
   */
  private void monitor() {
    try {
      while (!closed) {
        if (!process.isAlive()) {
          failedProbes = 2;
          TimeUnit.MILLISECONDS.sleep(RESTART_MS);
          if (!closed) {
            start();
          }
        }
        probe(process);
        TimeUnit.MILLISECONDS.sleep(RESTART_MS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (IOException e) {
      violations.add(System.nanoTime(), "start", spec.name() + ": " + e.getMessage());
    }
  }

  private void probe(Process observed) {
    try (HttpConnection connection = HttpConnection.open(spec.readyPort())) {
      connection.setReadTimeoutMs(READ_TIMEOUT_MS);
      Map<String, String> headers = Map.of("Host", spec.name());
      connection.writeRequest("GET", "/readyz", headers, new byte[0]);
      failedProbes = connection.readResponse().status() == OK ? 0 : failedProbes + 1;
      connection.writeRequest("GET", "/state", headers, new byte[0]);
      HttpResponse dump = connection.readResponse();
      if (dump.status() == OK && observed == process) {
        checkVersion(system.version(new String(dump.body())));
      }
    } catch (IOException e) {
      failedProbes++;
    }
  }

  private void checkVersion(long newVersion) {
    if (newVersion < version) {
      violations.add(
          System.nanoTime(),
          "configuration never reverts",
          "%s went from %d to %d".formatted(spec.name(), version, newVersion));
    }
    version = Math.max(version, newVersion);
  }

  /** Returns the log lines with invariant violations that the daemon itself detected. */
  public List<String> invariantViolationLines() throws IOException {
    return Files.readAllLines(log).stream()
        .filter(line -> line.contains("invariant: violated"))
        .toList();
  }

  @Override
  public void close() throws IOException {
    closed = true;
    process.destroyForcibly();
    storeLink.close();
    peerLink.close();
  }
}
