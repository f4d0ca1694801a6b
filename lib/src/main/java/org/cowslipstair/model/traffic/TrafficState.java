package org.cowslipstair.model.traffic;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cowslipstair.model.config.BackendName;
import org.cowslipstair.model.config.ServiceName;
import org.cowslipstair.model.config.ZoneName;

/** Immutable snapshot of the configuration, backend instances and zones used for routing. */
public final class TrafficState {
  private static final TrafficState EMPTY =
      new TrafficState(Optional.empty(), List.of(), Set.of(), Set.of());

  private final Optional<TrafficPlan> plan;
  private final List<BackendInstance> backends;
  private final Set<ZoneName> zonesOut;
  private final Set<BackendName> unconfirmed;
  private final Map<ServiceName, List<BackendInstance>> eligible = new HashMap<>();

  private TrafficState(
      Optional<TrafficPlan> plan,
      Collection<BackendInstance> backends,
      Set<ZoneName> zonesOut,
      Set<BackendName> unconfirmed) {
    this.unconfirmed = Set.copyOf(unconfirmed);
    this.plan = plan;
    this.backends = List.copyOf(backends);
    this.zonesOut = Set.copyOf(zonesOut);
    for (BackendInstance backend : this.backends) {
      if (!backend.leaving() && !this.zonesOut.contains(backend.zone())) {
        eligible.computeIfAbsent(backend.service(), _ -> new ArrayList<>()).add(backend);
      }
    }
  }

  /** Returns the state of a gateway that has not loaded any data yet. */
  public static TrafficState empty() {
    return EMPTY;
  }

  /**
   * Combines a configuration with the backend instances and the zones that are out of service.
   *
   * @param unconfirmed backend instances whose entry is missing and may reappear; each request to
   *     them requires their confirmation that they are not leaving
   */
  public static TrafficState of(
      TrafficPlan plan,
      Collection<BackendInstance> backends,
      Set<ZoneName> zonesOut,
      Set<BackendName> unconfirmed) {
    return new TrafficState(Optional.of(plan), backends, zonesOut, unconfirmed);
  }

  /** Returns whether the entry of a backend instance is missing and may reappear. */
  public boolean isUnconfirmed(BackendName name) {
    return unconfirmed.contains(name);
  }

  /** Returns the configuration; empty before the first one is loaded. */
  public Optional<TrafficPlan> plan() {
    return plan;
  }

  /** Returns all known backend instances. */
  public List<BackendInstance> backends() {
    return backends;
  }

  /** Returns the zones that are out of service and get no new requests. */
  public Set<ZoneName> zonesOut() {
    return zonesOut;
  }

  /** Returns the backend instances of a service to which new requests may be sent. */
  public List<BackendInstance> eligible(ServiceName service) {
    return eligible.getOrDefault(service, List.of());
  }
}
