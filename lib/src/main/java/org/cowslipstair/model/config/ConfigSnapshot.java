package org.cowslipstair.model.config;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import org.cowslipstair.model.pool.PoolId;

/** The configuration at one revision, indexed for the request path. Immutable. */
public final class ConfigSnapshot {
  private static final ConfigSnapshot EMPTY = new ConfigSnapshot(0, List.of());

  private final long revision;
  private final SortedMap<ZoneName, Zone> zones = new TreeMap<>();
  private final SortedMap<BackendName, BackendServer> backends = new TreeMap<>();
  private final SortedMap<ServiceName, Service> services = new TreeMap<>();
  private final List<RoutingRule> rules = new ArrayList<>();
  private final Map<PoolId, List<BackendServer>> pools = new HashMap<>();
  private final Map<ServiceName, List<BackendServer>> candidates = new HashMap<>();

  private ConfigSnapshot(long revision, Collection<? extends ConfigObject> objects) {
    this.revision = revision;
    for (ConfigObject object : objects) {
      switch (object) {
        case Zone zone -> zones.put(zone.name(), zone);
        case BackendServer backend -> backends.put(backend.name(), backend);
        case Service service -> services.put(service.name(), service);
        case RoutingRule rule -> rules.add(rule);
      }
    }
    rules.sort(
        Comparator.comparingInt(RoutingRule::priority)
            .thenComparingInt(rule -> rule.pathPrefix().length())
            .reversed()
            .thenComparing(RoutingRule::name));
    services.values().forEach(this::indexPools);
  }

  private void indexPools(Service service) {
    Map<ZoneName, List<BackendServer>> byZone = new TreeMap<>();
    for (BackendServer backend : backends.values()) {
      Zone zone = zones.get(backend.zone());
      boolean zoneSelected = zone != null && service.zones().matches(zone.labels());
      if (zoneSelected && service.backends().matches(backend.labels())) {
        byZone.computeIfAbsent(backend.zone(), _ -> new ArrayList<>()).add(backend);
      }
    }
    byZone.forEach(
        (zone, members) -> pools.put(new PoolId(service.name(), zone), List.copyOf(members)));
    candidates.put(
        service.name(),
        byZone.values().stream()
            .flatMap(List::stream)
            .filter(backend -> takesNewCalls(backend.name()))
            .toList());
  }

  /** Returns a configuration without objects. */
  public static ConfigSnapshot empty() {
    return EMPTY;
  }

  /** Indexes objects as of one revision of the store. */
  public static ConfigSnapshot of(long revision, Collection<? extends ConfigObject> objects) {
    return new ConfigSnapshot(revision, objects);
  }

  /** Returns the revision of the store. */
  public long revision() {
    return revision;
  }

  /** Finds a zone. */
  public Optional<Zone> zone(ZoneName name) {
    return Optional.ofNullable(zones.get(name));
  }

  /** Finds a backend server. */
  public Optional<BackendServer> backend(BackendName name) {
    return Optional.ofNullable(backends.get(name));
  }

  /** Finds a service. */
  public Optional<Service> service(ServiceName name) {
    return Optional.ofNullable(services.get(name));
  }

  /** Returns all zones by name. */
  public Collection<Zone> zones() {
    return Collections.unmodifiableCollection(zones.values());
  }

  /** Returns all backend servers by name. */
  public Collection<BackendServer> backends() {
    return Collections.unmodifiableCollection(backends.values());
  }

  /** Returns all services by name. */
  public Collection<Service> services() {
    return Collections.unmodifiableCollection(services.values());
  }

  /** Returns all routing rules in the order in which they are tried. */
  public List<RoutingRule> rules() {
    return Collections.unmodifiableList(rules);
  }

  /** Returns the pools that have backend servers, leaving ones included. */
  public Collection<PoolId> pools() {
    return Collections.unmodifiableCollection(pools.keySet());
  }

  /** Returns the backend servers of a pool, leaving ones included. */
  public List<BackendServer> members(PoolId pool) {
    return pools.getOrDefault(pool, List.of());
  }

  /** Returns the backend servers of a service that take new calls, in all zones. */
  public List<BackendServer> candidates(ServiceName service) {
    return candidates.getOrDefault(service, List.of());
  }

  /** Returns whether new calls may be sent to a backend server. */
  public boolean takesNewCalls(BackendName name) {
    BackendServer backend = backends.get(name);
    if (backend == null || backend.isLeaving()) {
      return false;
    }
    Zone zone = zones.get(backend.zone());
    return zone != null && !zone.isOut();
  }

  /** Finds the first routing rule that matches a call. */
  public Optional<RoutingRule> route(String host, String path, String method) {
    for (RoutingRule rule : rules) {
      if (matches(rule, host, path, method)) {
        return Optional.of(rule);
      }
    }
    return Optional.empty();
  }

  private static boolean matches(RoutingRule rule, String host, String path, String method) {
    boolean hostMatches = rule.host().isEmpty() || rule.host().get().equalsIgnoreCase(host);
    boolean methodMatches = rule.methods().isEmpty() || rule.methods().contains(method);
    return hostMatches && methodMatches && path.startsWith(rule.pathPrefix());
  }
}
