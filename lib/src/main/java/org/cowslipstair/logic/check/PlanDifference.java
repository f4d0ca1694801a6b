package org.cowslipstair.logic.check;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cowslipstair.model.tenant.KeyDigest;
import org.cowslipstair.model.tenant.Quota;
import org.cowslipstair.model.tenant.Tenant;
import org.cowslipstair.model.tenant.TenantName;
import org.cowslipstair.model.traffic.CallerBounds;
import org.cowslipstair.model.traffic.Route;
import org.cowslipstair.model.traffic.ServiceConfig;
import org.cowslipstair.model.traffic.TrafficPlan;

/** Tells what a configuration changes for callers, compared with the one in force. */
public final class PlanDifference {
  private final TrafficPlan inForce;
  private final TrafficPlan next;
  private final List<Finding> findings = new ArrayList<>();

  private record Match(String host, String pathPrefix) {}

  private PlanDifference(TrafficPlan inForce, TrafficPlan next) {
    this.inForce = inForce;
    this.next = next;
  }

  /** Returns the differences of a configuration from the one in force. */
  public static List<Finding> between(TrafficPlan inForce, TrafficPlan next) {
    PlanDifference difference = new PlanDifference(inForce, next);
    difference.compareVersions();
    difference.compareRoutes();
    difference.compareServices();
    difference.compareTenants();
    difference.compareBounds();
    return List.copyOf(difference.findings);
  }

  private void compareVersions() {
    if (next.version() <= inForce.version()) {
      findings.add(
          new Finding(
              Finding.Kind.ERROR,
              "version " + next.version(),
              "version %d is in force; a lower one never takes effect"
                  .formatted(inForce.version())));
    }
  }

  private void compareRoutes() {
    Map<Match, Route> before = byMatch(inForce);
    Map<Match, Route> after = byMatch(next);
    after.forEach(
        (match, route) -> {
          Optional<Route> previous = Optional.ofNullable(before.get(match));
          if (previous.isEmpty()) {
            add(PlanCheck.subject(route), "added for %s%s".formatted(match.host, match.pathPrefix));
          } else {
            compareRoute(previous.get(), route);
          }
        });
    before.forEach(
        (match, route) -> {
          if (!after.containsKey(match)) {
            add(PlanCheck.subject(route), "removed; " + effectOfRemoval(match));
          }
        });
  }

  private String effectOfRemoval(Match match) {
    return next.route(match.host, match.pathPrefix)
        .map(other -> "its requests go to " + PlanCheck.subject(other))
        .orElse("its callers get 404");
  }

  private static Map<Match, Route> byMatch(TrafficPlan plan) {
    Map<Match, Route> routes = new LinkedHashMap<>();
    plan.routes()
        .forEach(route -> routes.putIfAbsent(new Match(route.host(), route.pathPrefix()), route));
    return routes;
  }

  private void compareRoute(Route before, Route after) {
    String subject = PlanCheck.subject(after);
    compare(subject, "services", before.services(), after.services());
    compare(subject, "kind", before.kind(), after.kind());
    compare(subject, "timeout in ms", before.timeoutMs(), after.timeoutMs());
    compare(subject, "target latency in ms", before.targetLatencyMs(), after.targetLatencyMs());
    compare(subject, "priority", before.priority(), after.priority());
    compare(subject, "attempts", before.maxAttempts(), after.maxAttempts());
    if (before.anonymous() != after.anonymous()) {
      add(subject, after.anonymous() ? "needs no key any more" : "needs a key from now on");
    }
  }

  private void compareServices() {
    for (ServiceConfig after : next.services()) {
      String subject = PlanCheck.subject(after);
      Optional<ServiceConfig> before = inForce.service(after.name());
      if (before.isEmpty()) {
        add(subject, "added");
        continue;
      }
      compare(subject, "health path", before.get().healthPath(), after.healthPath());
      compare(subject, "connections", before.get().maxConnections(), after.maxConnections());
      compare(
          subject,
          "requests per second to a cold server",
          before.get().coldRequestsPerSecond(),
          after.coldRequestsPerSecond());
    }
    for (ServiceConfig before : inForce.services()) {
      if (next.service(before.name()).isEmpty()) {
        add(PlanCheck.subject(before), "removed");
      }
    }
  }

  private void compareTenants() {
    Map<TenantName, Tenant> before = byName(inForce);
    Map<TenantName, Tenant> after = byName(next);
    after.forEach(
        (name, tenant) -> {
          Optional<Tenant> previous = Optional.ofNullable(before.get(name));
          if (previous.isEmpty()) {
            add(PlanCheck.subject(tenant), "added with %d keys".formatted(tenant.keys().size()));
          } else {
            compareTenant(previous.get(), tenant);
          }
        });
    before.forEach(
        (name, tenant) -> {
          if (!after.containsKey(name)) {
            add(PlanCheck.subject(tenant), "removed; its callers get 401");
          }
        });
  }

  private static Map<TenantName, Tenant> byName(TrafficPlan plan) {
    Map<TenantName, Tenant> tenants = new HashMap<>();
    plan.tenants().forEach(tenant -> tenants.put(tenant.name(), tenant));
    return tenants;
  }

  private void compareTenant(Tenant before, Tenant after) {
    String subject = PlanCheck.subject(after);
    int withdrawn = countMissing(before.keys(), after.keys());
    int added = countMissing(after.keys(), before.keys());
    if (withdrawn > 0) {
      add(subject, "%d keys withdrawn; callers that use them get 401".formatted(withdrawn));
    }
    if (added > 0) {
      add(subject, "%d keys added".formatted(added));
    }
    if (!before.quota().equals(after.quota())) {
      add(subject, "quota: %s -> %s".formatted(text(before.quota()), text(after.quota())));
    }
    compare(subject, "priority", before.priority(), after.priority());
  }

  private static int countMissing(Set<KeyDigest> keys, Set<KeyDigest> others) {
    Set<KeyDigest> missing = new HashSet<>(keys);
    missing.removeAll(others);
    return missing.size();
  }

  private static String text(Optional<Quota> quota) {
    return quota
        .map(q -> "%s a second, burst %s".formatted(q.requestsPerSecond(), q.burstRequests()))
        .orElse("none");
  }

  private void compareBounds() {
    CallerBounds before = inForce.bounds();
    CallerBounds after = next.bounds();
    String subject = "limits";
    compare(subject, "bytes of a head", before.maxHeadBytes(), after.maxHeadBytes());
    compare(subject, "bytes of a body", before.maxBodyBytes(), after.maxBodyBytes());
    compare(subject, "head timeout in ms", before.headTimeoutMs(), after.headTimeoutMs());
    compare(subject, "idle timeout in ms", before.idleTimeoutMs(), after.idleTimeoutMs());
  }

  private void compare(String subject, String field, Object before, Object after) {
    if (!before.equals(after)) {
      add(subject, "%s: %s -> %s".formatted(field, before, after));
    }
  }

  private void add(String subject, String problem) {
    findings.add(new Finding(Finding.Kind.DIFFERENCE, subject, problem));
  }
}
