package org.cowslipstair.model.traffic;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cowslipstair.model.config.ServiceName;
import org.cowslipstair.model.tenant.KeyDigest;
import org.cowslipstair.model.tenant.Tenant;

/** Immutable version of the configuration, indexed for fast lookup when requests are routed. */
public final class TrafficPlan {
  private final long version;
  private final CallerBounds bounds;
  private final Map<ServiceName, ServiceConfig> services = new HashMap<>();
  private final Map<String, List<Route>> routesByHost = new HashMap<>();
  private final List<Tenant> tenants;
  private final Map<KeyDigest, Tenant> tenantsByKey = new HashMap<>();
  private final Set<KeyDigest> sharedKeys = new HashSet<>();

  /**
   * Creates a plan without tenants.
   *
   * @param version increases with each accepted change
   */
  public TrafficPlan(
      long version,
      CallerBounds bounds,
      Collection<ServiceConfig> services,
      Collection<Route> routes) {
    this(version, bounds, services, routes, List.of());
  }

  /**
   * Creates a plan.
   *
   * @param version increases with each accepted change
   * @param tenants customers with keys; if there are none, no request needs a key
   */
  public TrafficPlan(
      long version,
      CallerBounds bounds,
      Collection<ServiceConfig> services,
      Collection<Route> routes,
      Collection<Tenant> tenants) {
    this.version = version;
    this.bounds = bounds;
    services.forEach(service -> this.services.put(service.name(), service));
    for (Route route : routes) {
      routesByHost.computeIfAbsent(route.host(), _ -> new ArrayList<>()).add(route);
    }
    Comparator<Route> byDescendingPrefixLength =
        Comparator.comparingInt((Route route) -> route.pathPrefix().length()).reversed();
    routesByHost.values().forEach(routesOfHost -> routesOfHost.sort(byDescendingPrefixLength));
    this.tenants = List.copyOf(tenants);
    for (Tenant tenant : this.tenants) {
      for (KeyDigest key : tenant.keys()) {
        if (tenantsByKey.put(key, tenant) != null) {
          sharedKeys.add(key);
        }
      }
    }
    tenantsByKey.keySet().removeAll(sharedKeys);
  }

  /** Returns the version. */
  public long version() {
    return version;
  }

  /** Returns the limits on requests and connections from callers. */
  public CallerBounds bounds() {
    return bounds;
  }

  /** Returns the service with the given name; empty if there is none. */
  public Optional<ServiceConfig> service(ServiceName name) {
    return Optional.ofNullable(services.get(name));
  }

  /** Returns all services. */
  public Collection<ServiceConfig> services() {
    return List.copyOf(services.values());
  }

  /** Returns all tenants; empty if requests need no key. */
  public List<Tenant> tenants() {
    return tenants;
  }

  /**
   * Returns the tenant that holds a key; empty if no tenant does, or if several do, since the key
   * then tells nothing of its sender.
   */
  public Optional<Tenant> tenant(KeyDigest key) {
    return Optional.ofNullable(tenantsByKey.get(key));
  }

  /**
   * Returns the number of a tenant's keys that another tenant holds too, and that are of no use.
   */
  public int sharedKeyCount(Tenant tenant) {
    return (int) tenant.keys().stream().filter(sharedKeys::contains).count();
  }

  /** Returns all routes. */
  public List<Route> routes() {
    return routesByHost.values().stream().flatMap(List::stream).toList();
  }

  /**
   * Returns the route of a host whose prefix is the longest that matches the path; empty if no
   * route matches.
   *
   * @param host value of the Host header, with or without a port
   */
  public Optional<Route> route(String host, String path) {
    for (Route route : routesByHost.getOrDefault(withoutPort(host), List.of())) {
      if (path.startsWith(route.pathPrefix())) {
        return Optional.of(route);
      }
    }
    return Optional.empty();
  }

  private static String withoutPort(String host) {
    int colon = host.lastIndexOf(':');
    boolean hasPort = colon > host.lastIndexOf(']');
    return (hasPort ? host.substring(0, colon) : host).toLowerCase(Locale.ROOT);
  }
}
