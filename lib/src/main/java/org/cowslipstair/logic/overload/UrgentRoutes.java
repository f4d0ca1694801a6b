package org.cowslipstair.logic.overload;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalInt;
import org.cowslipstair.model.config.ServiceName;
import org.cowslipstair.model.tenant.Tenant;
import org.cowslipstair.model.traffic.Route;
import org.cowslipstair.model.traffic.TrafficPlan;
import org.cowslipstair.model.traffic.WeightedService;

/** What a configuration says about the most urgent requests of each service. Immutable. */
public final class UrgentRoutes {
  /** A route is more urgent than another if its target latency is at most this share of it. */
  private static final double TARGET_SHARE = 0.5;

  private final Map<ServiceName, MostUrgent> mostUrgent = new HashMap<>();
  private final OptionalInt highestTenantPriority;

  private record MostUrgent(int priority, long targetLatencyMs) {
    MostUrgent and(MostUrgent other) {
      return new MostUrgent(
          Math.min(priority, other.priority), Math.min(targetLatencyMs, other.targetLatencyMs));
    }
  }

  /** Reads a configuration. */
  public UrgentRoutes(TrafficPlan plan) {
    for (Route route : plan.routes()) {
      for (WeightedService service : route.services()) {
        mostUrgent.merge(
            service.service(),
            new MostUrgent(route.priority(), route.targetLatencyMs()),
            MostUrgent::and);
      }
    }
    this.highestTenantPriority =
        plan.tenants().stream().map(Tenant::priority).flatMapToInt(OptionalInt::stream).min();
  }

  /**
   * Returns whether the service gets requests that are more urgent than one.
   *
   * @param priority priority of the request
   */
  public boolean hasMoreUrgent(ServiceName service, Route route, int priority) {
    MostUrgent other = mostUrgent.get(service);
    if (other == null) {
      return false;
    }
    return Math.min(other.priority, highestTenantPriority.orElse(other.priority)) < priority
        || other.targetLatencyMs <= route.targetLatencyMs() * TARGET_SHARE;
  }
}
