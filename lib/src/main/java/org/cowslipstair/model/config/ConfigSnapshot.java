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

/** Immutable configuration at one revision, indexed for fast lookup when requests are routed. */
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
    Map<ZoneName, List<BackendServer>> backendsByZone = new TreeMap<>();
    for (BackendServer backend : backends.values()) {
      Zone zone = zones.get(backend.zone());
      boolean isZoneSelected = zone != null && service.zones().matches(zone.labels());
      if (isZoneSelected && service.backends().matches(backend.labels())) {
        backendsByZone.computeIfAbsent(backend.zone(), _ -> new ArrayList<>()).add(backend);
      }
    }
    backendsByZone.forEach(
        (zone, members) -> pools.put(new PoolId(service.name(), zone), List.copyOf(members)));
    candidates.put(
        service.name(),
        backendsByZone.values().stream()
            .flatMap(List::stream)
            .filter(backend -> acceptsNewCalls(backend.name()))
            .toList());
  }

  /** Returns a configuration without objects. */
  public static ConfigSnapshot empty() {
    return EMPTY;
  }

  /** Returns a snapshot of the objects at one revision of the store. */
  public static ConfigSnapshot of(long revision, Collection<? extends ConfigObject> objects) {
    return new ConfigSnapshot(revision, objects);
  }

  /** Returns the revision of the store. */
  public long revision() {
    return revision;
  }

  /** Returns the zone with the given name; empty if there is none. */
  public Optional<Zone> zone(ZoneName name) {
    return Optional.ofNullable(zones.get(name));
  }

  /** Returns the backend server with the given name; empty if there is none. */
  public Optional<BackendServer> backend(BackendName name) {
    return Optional.ofNullable(backends.get(name));
  }

  /** Returns the service with the given name; empty if there is none. */
  public Optional<Service> service(ServiceName name) {
    return Optional.ofNullable(services.get(name));
  }

  /** Returns all zones, ordered by name. */
  public Collection<Zone> zones() {
    return Collections.unmodifiableCollection(zones.values());
  }

  /** Returns all backend servers, ordered by name. */
  public Collection<BackendServer> backends() {
    return Collections.unmodifiableCollection(backends.values());
  }

  /** Returns all services, ordered by name. */
  public Collection<Service> services() {
    return Collections.unmodifiableCollection(services.values());
  }

  /** Returns all routing rules in the order in which they are evaluated. */
  public List<RoutingRule> rules() {
    return Collections.unmodifiableList(rules);
  }

  /** Returns the pools that have at least one backend server, including leaving ones. */
  public Collection<PoolId> pools() {
    return Collections.unmodifiableCollection(pools.keySet());
  }

  /**
   * Returns the backend servers of a pool, including leaving ones; empty if there is no such pool.
   */
  public List<BackendServer> members(PoolId pool) {
    return pools.getOrDefault(pool, List.of());
  }

  /** Returns the backend servers of a service in all zones that accept new calls. */
  public List<BackendServer> candidates(ServiceName service) {
    return candidates.getOrDefault(service, List.of());
  }

  /** Returns whether new calls may be sent to a backend server; false if it is not configured. */
  public boolean acceptsNewCalls(BackendName name) {
    BackendServer backend = backends.get(name);
    if (backend == null || backend.isLeaving()) {
      return false;
    }
    Zone zone = zones.get(backend.zone());
    return zone != null && !zone.isOut();
  }

  /** Returns the first routing rule that matches a call; empty if none does. */
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
