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

/** Everything that requests are routed by at one moment. Immutable. */
public final class TrafficState {
  private static final TrafficState EMPTY =
      new TrafficState(Optional.empty(), List.of(), Set.of(), Set.of());

  private final Optional<TrafficPlan> plan;
  private final List<BackendInstance> backends;
  private final Set<ZoneName> zonesOut;
  private final Set<BackendName> doubtful;
  private final Map<ServiceName, List<BackendInstance>> eligible = new HashMap<>();

  private TrafficState(
      Optional<TrafficPlan> plan,
      Collection<BackendInstance> backends,
      Set<ZoneName> zonesOut,
      Set<BackendName> doubtful) {
    this.doubtful = Set.copyOf(doubtful);
    this.plan = plan;
    this.backends = List.copyOf(backends);
    this.zonesOut = Set.copyOf(zonesOut);
    for (BackendInstance backend : this.backends) {
      if (!backend.leaving() && !this.zonesOut.contains(backend.zone())) {
        eligible.computeIfAbsent(backend.service(), _ -> new ArrayList<>()).add(backend);
      }
    }
  }

  /** Returns the state of a gateway that knows nothing yet. */
  public static TrafficState empty() {
    return EMPTY;
  }

  /**
   * Joins a configuration with the backend instances and the zones taken out.
   *
   * @param doubtful backend instances whose entry is missing and may come back; each request needs
   *     their own word that they are not leaving
   */
  public static TrafficState of(
      TrafficPlan plan,
      Collection<BackendInstance> backends,
      Set<ZoneName> zonesOut,
      Set<BackendName> doubtful) {
    return new TrafficState(Optional.of(plan), backends, zonesOut, doubtful);
  }

  /** Returns whether the entry of a backend instance is missing and may come back. */
  public boolean isDoubtful(BackendName name) {
    return doubtful.contains(name);
  }

  /** Returns the configuration, empty before the first one. */
  public Optional<TrafficPlan> plan() {
    return plan;
  }

  /** Returns all known backend instances. */
  public List<BackendInstance> backends() {
    return backends;
  }

  /** Returns the zones that get no new requests. */
  public Set<ZoneName> zonesOut() {
    return zonesOut;
  }

  /** Returns the backend instances of a service that may get new requests. */
  public List<BackendInstance> eligible(ServiceName service) {
    return eligible.getOrDefault(service, List.of());
  }
}
