package org.cowslipstair.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cowslipstair.adapters.platform.HttpPlatformStore;
import org.cowslipstair.adapters.settings.InvalidFileException;
import org.cowslipstair.adapters.settings.TomlDocument;
import org.cowslipstair.model.config.HostPort;
import org.cowslipstair.port.PlatformStore;

/** Resources of one command: store, admin client and output. */
final class Session implements AutoCloseable {
  private static final String STORE_VARIABLE = "COWSLIPSTAIR_STORE";
  private static final String STORE_ADDRESS_SYNTAX =
      "host:port in --store, in COWSLIPSTAIR_STORE, or as store_addresses = [...] in the --settings file";

  private final CommonOptions options;
  private final Printer printer;
  private final Map<String, String> environment;
  private final AdminClient admin = new AdminClient();
  private Optional<HttpPlatformStore> store = Optional.empty();

  Session(CommonOptions options, Printer printer, Map<String, String> environment) {
    this.options = options;
    this.printer = printer;
    this.environment = Map.copyOf(environment);
  }

  Printer printer() {
    return printer;
  }

  AdminClient admin() {
    return admin;
  }

  /** Returns the store client; created at the first use. */
  PlatformStore store() throws CliException {
    if (store.isEmpty()) {
      store = Optional.of(new HttpPlatformStore(addresses()));
    }
    return store.get();
  }

  /** Returns access to the objects in the store. */
  ObjectStore objects() throws CliException {
    return new ObjectStore(store());
  }

  /** Waits until every live gateway has a revision in force, unless waiting is disabled. */
  void awaitInForce(long revision) throws CliException, InterruptedException {
    if (options.isWaiting()) {
      Duration timeout = Duration.ofSeconds(options.waitSeconds());
      new RolloutWaiter(store(), admin, printer).await(revision, timeout);
    }
  }

  private List<HostPort> addresses() throws CliException {
    if (!options.stores().isEmpty()) {
      return parse(options.stores());
    }
    Path settings = options.settings();
    if (settings != null) {
      return readSettings(settings);
    }
    String variable = environment.getOrDefault(STORE_VARIABLE, "");
    return parse(List.of(variable.split(",")));
  }

  private static List<HostPort> parse(List<String> texts) throws CliException {
    List<HostPort> addresses = new ArrayList<>();
    for (String text : texts) {
      Optional<HostPort> address = HostPort.parse(text.strip());
      addresses.add(address.orElseThrow(() -> new CliException.Usage(text, STORE_ADDRESS_SYNTAX)));
    }
    return addresses;
  }

  private static List<HostPort> readSettings(Path file) throws CliException {
    try {
      TomlDocument document = TomlDocument.read(file);
      List<HostPort> addresses = document.fields().addresses("store_addresses");
      document.requireValid();
      return addresses;
    } catch (IOException | InvalidFileException e) {
      throw new CliException.InvalidInput(e);
    }
  }

  @Override
  public void close() {
    store.ifPresent(HttpPlatformStore::close);
    admin.close();
  }
}
