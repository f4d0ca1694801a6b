package review.lab;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** Runs one case: a store, upstreams and gateways on loopback; ends all processes. */
public final class Lab implements AutoCloseable {
  /** The rule was kept, was broken, or the case could not run. */
  public static final int HELD = 0;

  public static final int BROKEN = 1;
  public static final int NOT_RUN = 2;

  /** Body of a case; returns its exit value. */
  public interface Case {
    int run(Lab lab) throws Exception;
  }

  public final Record record;
  public final Store store;
  public final Client client;
  public final boolean trouble;
  private final Path root;
  private final Path directory;
  private final List<Gateway> gateways = new ArrayList<>();

  private Lab(Path root, Path caseDirectory, boolean trouble) throws Exception {
    this.trouble = trouble;
    this.root = root;
    this.directory = Files.createTempDirectory("review-");
    this.record = new Record(caseDirectory.resolve("record.txt"));
    this.store = new Store(record);
    this.client = new Client(record);
  }

  /**
   * Runs a case and exits. Arguments: the root of the repository, the folder of the case, and 0 to
   * leave out the disruption.
   */
  public static void main(String[] arguments, Case body) throws Exception {
    int result = NOT_RUN;
    try (Lab lab = new Lab(Path.of(arguments[0]), Path.of(arguments[1]), !arguments[2].equals("0"))) {
      Runtime.getRuntime().addShutdownHook(new Thread(lab::killAll));
      lab.record.line("trouble: %s", lab.trouble ? "on" : "off");
      try {
        result = body.run(lab);
      } catch (Exception e) {
        lab.record.line("cannot run: %s", e);
        e.printStackTrace();
      }
      lab.record.line("exit: %d", result);
      System.out.println(result == HELD ? "held" : result == BROKEN ? "BROKEN" : "not run");
    }
    System.exit(result);
  }

  /** Adds a gateway that is not started. */
  public Gateway gateway(String name) throws Exception {
    Gateway gateway = new Gateway(record, root, directory, name);
    gateways.add(gateway);
    return gateway;
  }

  private void killAll() {
    for (Gateway gateway : gateways) {
      try {
        gateway.kill();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }

  @Override
  public void close() throws Exception {
    killAll();
    boolean keep = System.getenv("REVIEW_KEEP") != null;
    try (Stream<Path> files = keep ? Stream.empty() : Files.walk(directory)) {
      for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.deleteIfExists(file);
      }
    }
    if (keep) {
      System.out.println("logs in " + directory);
    }
    record.close();
  }
}
