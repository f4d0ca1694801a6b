package org.cowslipstair.logic.check;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cowslipstair.model.config.ServiceName;
import org.cowslipstair.model.tenant.KeyDigest;
import org.cowslipstair.model.tenant.Tenant;
import org.cowslipstair.model.traffic.RequestKind;
import org.cowslipstair.model.traffic.Route;
import org.cowslipstair.model.traffic.ServiceConfig;
import org.cowslipstair.model.traffic.TrafficPlan;
import org.cowslipstair.model.traffic.WeightedService;

/** Finds what is wrong with a configuration by itself: errors, dead entries, contradictions. */
public final class PlanCheck {
  private final TrafficPlan plan;
  private final List<Finding> findings = new ArrayList<>();

  private record Match(String host, String pathPrefix) {}

  private PlanCheck(TrafficPlan plan) {
    this.plan = plan;
  }

  /** Returns the findings on a configuration. */
  public static List<Finding> check(TrafficPlan plan) {
    PlanCheck check = new PlanCheck(plan);
    check.checkServices();
    check.checkRoutes();
    check.checkTenants();
    return List.copyOf(check.findings);
  }

  private void checkServices() {
    Set<ServiceName> routed = new HashSet<>();
    plan.routes().forEach(route -> route.services().forEach(part -> routed.add(part.service())));
    for (ServiceConfig service : plan.services()) {
      if (!routed.contains(service.name())) {
        add(Finding.Kind.NEVER_MATCHES, subject(service), "no route leads to it");
      }
    }
  }

  private void checkRoutes() {
    Map<Match, Route> known = new HashMap<>();
    for (Route route : plan.routes()) {
      checkMatch(route);
      checkTimes(route);
      checkParts(route);
      Route earlier = known.putIfAbsent(new Match(route.host(), route.pathPrefix()), route);
      if (earlier != null) {
        add(
            Finding.Kind.NEVER_MATCHES,
            subject(route),
            "%s has the same host and prefix and takes its requests".formatted(subject(earlier)));
      }
    }
  }

  private void checkMatch(Route route) {
    if (route.host().chars().anyMatch(c -> c <= ' ' || c >= 0x7f || c == '/')) {
      add(
          Finding.Kind.NEVER_MATCHES,
          subject(route),
          "no caller can send the host \"%s\"".formatted(route.host()));
    } else if (route.host().matches(".*[^\\]]:[0-9]+|\\[.*\\]:[0-9]+")) {
      add(
          Finding.Kind.NEVER_MATCHES,
          subject(route),
          "host \"%s\" has a port, which is not compared".formatted(route.host()));
    }
    if (!route.pathPrefix().startsWith("/") || route.pathPrefix().contains("?")) {
      add(
          Finding.Kind.NEVER_MATCHES,
          subject(route),
          "no path begins with \"%s\"".formatted(route.pathPrefix()));
    } else if (!route.pathPrefix().endsWith("/")) {
      add(
          Finding.Kind.CONTRADICTION,
          subject(route),
          "prefix \"%s\" ends within a segment and matches longer names"
              .formatted(route.pathPrefix()));
    }
  }

  private void checkTimes(Route route) {
    if (route.timeoutMs() < route.targetLatencyMs()) {
      add(
          Finding.Kind.CONTRADICTION,
          subject(route),
          "its timeout of %d ms ends before its target latency of %d ms"
              .formatted(route.timeoutMs(), route.targetLatencyMs()));
    }
    boolean isUpload = route.kind() == RequestKind.UPLOAD;
    if (isUpload && plan.bounds().maxBodyBytes() == 0) {
      add(
          Finding.Kind.CONTRADICTION,
          subject(route),
          "it takes uploads, and the limit on request bodies is 0 bytes");
    }
  }

  private void checkParts(Route route) {
    double totalWeight = 0;
    Set<ServiceName> named = new HashSet<>();
    for (WeightedService part : route.services()) {
      totalWeight += part.weight();
      if (plan.service(part.service()).isEmpty()) {
        add(
            Finding.Kind.ERROR,
            subject(route),
            "service \"%s\" is not defined".formatted(part.service()));
      }
      if (!named.add(part.service())) {
        add(
            Finding.Kind.CONTRADICTION,
            subject(route),
            "its split names service \"%s\" twice".formatted(part.service()));
      }
      if (part.weight() == 0) {
        add(
            Finding.Kind.NEVER_MATCHES,
            subject(route),
            "service \"%s\" has weight 0 and gets no request".formatted(part.service()));
      }
    }
    if (totalWeight == 0) {
      add(Finding.Kind.ERROR, subject(route), "all weights of its split are 0");
    }
  }

  private void checkTenants() {
    Map<KeyDigest, Tenant> holders = new HashMap<>();
    Set<String> names = new HashSet<>();
    for (Tenant tenant : plan.tenants()) {
      if (!names.add(tenant.name().value())) {
        add(Finding.Kind.ERROR, subject(tenant), "it is defined twice");
      }
      if (tenant.keys().isEmpty()) {
        add(Finding.Kind.NEVER_MATCHES, subject(tenant), "it has no key and cannot send requests");
      }
      for (KeyDigest key : tenant.keys()) {
        Tenant other = holders.putIfAbsent(key, tenant);
        if (other != null) {
          add(
              Finding.Kind.ERROR,
              subject(tenant),
              "it shares a key with %s".formatted(subject(other)));
        }
      }
      tenant
          .quota()
          .filter(quota -> quota.requestsPerSecond() + quota.burstRequests() < 1)
          .ifPresent(
              quota ->
                  add(
                      Finding.Kind.CONTRADICTION,
                      subject(tenant),
                      "its quota of %s a second with a burst of %s allows no whole request"
                          .formatted(quota.requestsPerSecond(), quota.burstRequests())));
    }
    boolean isAnyAnonymous = plan.routes().stream().anyMatch(Route::anonymous);
    if (plan.tenants().isEmpty() && isAnyAnonymous) {
      add(
          Finding.Kind.CONTRADICTION,
          "tenants",
          "there are none, so that all routes are as open as the anonymous ones");
    }
  }

  private void add(Finding.Kind kind, String subject, String problem) {
    findings.add(new Finding(kind, subject, problem));
  }

  static String subject(Route route) {
    return "route \"%s\"".formatted(route.name());
  }

  static String subject(Tenant tenant) {
    return "tenant \"%s\"".formatted(tenant.name());
  }

  static String subject(ServiceConfig service) {
    return "service \"%s\"".formatted(service.name());
  }
}
