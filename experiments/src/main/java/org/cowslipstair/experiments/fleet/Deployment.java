package org.cowslipstair.experiments.fleet;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import org.cowslipstair.adapters.settings.InvalidFileException;
import org.cowslipstair.adapters.settings.ObjectFiles;
import org.cowslipstair.model.config.BackendName;
import org.cowslipstair.model.config.BackendServer;
import org.cowslipstair.model.config.ConfigObject;
import org.cowslipstair.model.config.ConfigSnapshot;
import org.cowslipstair.model.config.HostPort;
import org.cowslipstair.model.config.PolicyKind;
import org.cowslipstair.model.config.RoutingRule;
import org.cowslipstair.model.config.Service;
import org.cowslipstair.model.config.Zone;
import org.cowslipstair.model.config.ZoneName;

/** Configuration of one deployment, as its example directory holds it. */
public record Deployment(String name, List<ConfigObject> objects) {
  private static final String HOME_PROPERTY = "cowslipstair.home";

  /** Copies the objects. */
  public Deployment {
    objects = List.copyOf(objects);
  }

  /** Reads the example of a name, such as {@code kilele}. */
  public static Deployment example(String name) throws IOException, InvalidFileException {
    Path home = Path.of(System.getProperty(HOME_PROPERTY, "."));
    Collection<ConfigObject> objects =
        ObjectFiles.read(home.resolve("examples").resolve(name)).objects();
    return new Deployment(name, List.copyOf(objects));
  }

  /** Returns the names of the zones in order. */
  public List<ZoneName> zones() {
    return ConfigSnapshot.of(0, objects).zones().stream().map(Zone::name).toList();
  }

  /** Returns a zone that exists. */
  public Zone zone(ZoneName zone) {
    return ConfigSnapshot.of(0, objects)
        .zone(zone)
        .orElseThrow(
            () -> new IllegalArgumentException("zone \"%s\" does not exist".formatted(zone)));
  }

  /** Returns the backend servers by name. */
  public List<BackendServer> backends() {
    return List.copyOf(ConfigSnapshot.of(0, objects).backends());
  }

  /** Returns the services by name. */
  public List<Service> services() {
    return List.copyOf(ConfigSnapshot.of(0, objects).services());
  }

  /** Returns the backend servers of a service. */
  public List<BackendServer> backendsOf(Service service) {
    return ConfigSnapshot.of(0, objects).candidates(service.name());
  }

  /** Returns the routing rules. */
  public List<RoutingRule> rules() {
    return ConfigSnapshot.of(0, objects).rules();
  }

  /** Returns a copy whose services use a policy, with or without hedging. */
  public Deployment withPolicy(PolicyKind policy, boolean hedging) {
    List<ConfigObject> changed = new ArrayList<>();
    for (ConfigObject object : objects) {
      changed.add(object instanceof Service service ? with(service, policy, hedging) : object);
    }
    return new Deployment(name, changed);
  }

  private static Service with(Service service, PolicyKind policy, boolean hedging) {
    return new Service(
        service.name(),
        service.labels(),
        service.backends(),
        service.zones(),
        policy,
        service.timeoutMs(),
        service.probesPerSecond(),
        hedging);
  }

  /** Returns a copy whose backend servers have other addresses. */
  public Deployment withAddresses(Map<BackendName, HostPort> addresses) {
    List<ConfigObject> changed = new ArrayList<>();
    for (ConfigObject object : objects) {
      changed.add(object instanceof BackendServer backend ? at(backend, addresses) : object);
    }
    return new Deployment(name, changed);
  }

  private static BackendServer at(BackendServer backend, Map<BackendName, HostPort> addresses) {
    return new BackendServer(
        backend.name(),
        backend.labels(),
        backend.zone(),
        addresses.getOrDefault(backend.name(), backend.address()),
        backend.slots(),
        backend.maxConnections());
  }
}
