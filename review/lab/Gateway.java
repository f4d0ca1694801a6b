package review.lab;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** A process of the deploy file's gateway, started with the command given there. */
public final class Gateway {
  private static final int FIRST_PORT = 20_000;
  private static final int END_PORT = 32_000;
  private static final int SPREAD = 10_000;

  /** Cases that run side by side begin at different ports. */
  private static final AtomicInteger nextPort =
      new AtomicInteger(FIRST_PORT + (int) (ProcessHandle.current().pid() * 31 % SPREAD));

  private final Record record;
  private final Path root;
  private final Path settings;
  private final String name;
  private final int callerPort = freePort();
  private final int readyPort = freePort();
  private final int relayPort = freePort();
  private Process process;

  public Gateway(Record record, Path root, Path directory, String name) throws IOException {
    this.record = record;
    this.root = root;
    this.name = name;
    this.settings = directory.resolve(name + ".toml");
  }

  /**
   * Returns a port of the loopback address that is free now, below those that the system hands out,
   * so that no other socket of the case gets it meanwhile.
   */
  public static int freePort() throws IOException {
    while (true) {
      int port = nextPort.getAndIncrement();
      if (port >= END_PORT) {
        throw new IOException("no free port");
      }
      try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
        return socket.getLocalPort();
      } catch (BindException e) {
        // Another process uses this one.
      }
    }
  }

  public String name() {
    return name;
  }

  public int callerPort() {
    return callerPort;
  }

  public String relayAddress() {
    return "127.0.0.1:" + relayPort;
  }

  /** Writes the settings file: the template of the deploy file with the bounds of the site. */
  public void writeSettings(String zone, int storePort, List<String> seeds, boolean isFirstStart, int graceS)
      throws IOException {
    Map<String, String> values =
        Map.ofEntries(
            Map.entry("node", name),
            Map.entry("zone", zone),
            Map.entry("listen.front", "127.0.0.1:" + callerPort),
            Map.entry("listen.ready", "127.0.0.1:" + readyPort),
            Map.entry("listen.control", relayAddress()),
            Map.entry("seeds|json", "[\"" + String.join("\", \"", seeds) + "\"]"),
            Map.entry("bootstrap", Boolean.toString(isFirstStart)),
            Map.entry("platform.address", "127.0.0.1:" + storePort),
            Map.entry("limits.memoryMb", "430"),
            Map.entry(Wire.APPLY_BOUND, "2000"),
            Map.entry("bounds.graceS", Integer.toString(graceS)),
            Map.entry("bounds.retryBudgetRatio", "0.2"),
            Map.entry("bounds.retryBudgetSlack", "62"),
            Map.entry("bounds.warmupFactor", "1.5"),
            Map.entry("bounds.warmupSlack", "5"),
            Map.entry("bounds.probesPerS", "60"));
    String text = Files.readString(root.resolve("deploy/settings.toml.template"));
    for (Map.Entry<String, String> value : values.entrySet()) {
      text = text.replace("{{" + value.getKey() + "}}", value.getValue());
    }
    Files.writeString(settings, text);
  }

  /** Starts the process. */
  public void start() throws IOException {
    String line =
        Files.readAllLines(root.resolve("deploy/system.toml")).stream()
            .filter(text -> text.startsWith("run = "))
            .findFirst()
            .orElseThrow();
    String command = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
    ProcessBuilder builder = new ProcessBuilder(new ArrayList<>(List.of(command.split(" "))));
    builder.directory(root.toFile());
    builder.environment().keySet().retainAll(List.of("PATH", "HOME", "LANG"));
    builder.environment().put(Wire.SETTINGS_VARIABLE, settings.toString());
    builder.redirectErrorStream(true);
    builder.redirectOutput(
        ProcessBuilder.Redirect.appendTo(settings.resolveSibling(name + ".log").toFile()));
    process = builder.start();
    record.line("gateway %s starts as process %d, callers on port %d", name, process.pid(), callerPort);
  }

  /** Sends a signal to the process. */
  public void signal(String signal) throws IOException, InterruptedException {
    record.line("gateway %s: SIG%s", name, signal);
    new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
  }

  public boolean isRunning() {
    return process.isAlive();
  }

  /** Waits for the end of the process; returns its exit value, or -1 if it still runs. */
  public int awaitEnd(long timeoutMs) throws InterruptedException {
    return process.waitFor(timeoutMs, TimeUnit.MILLISECONDS) ? process.exitValue() : -1;
  }

  /** Ends the process. */
  public void kill() throws InterruptedException {
    if (process != null) {
      process.destroyForcibly().waitFor();
    }
  }

  /** Returns whether the readiness check answers 200. */
  public boolean isReady() {
    return page("/readyz").startsWith("HTTP/1.1 200");
  }

  /** Returns a page of the status server, with its head; empty if there is no answer. */
  public String page(String path) {
    try (Socket socket = new Socket(InetAddress.getByName("127.0.0.1"), readyPort)) {
      socket.setSoTimeout(1_000);
      socket.getOutputStream().write(("GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n").getBytes());
      Http.Message answer = Http.read(socket.getInputStream());
      return answer == null ? "" : answer.firstLine() + "\n" + new String(answer.body());
    } catch (IOException e) {
      return "";
    }
  }

  /** Waits until the gateway is ready. */
  public boolean awaitReady(long timeoutMs) throws InterruptedException {
    long endMs = record.nowMs() + timeoutMs;
    while (record.nowMs() < endMs) {
      if (isReady()) {
        record.line("gateway %s is ready", name);
        return true;
      }
      Thread.sleep(50);
    }
    return false;
  }
}
