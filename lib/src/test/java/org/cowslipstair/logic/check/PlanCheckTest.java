package org.cowslipstair.logic.check;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.stream.Stream;
import org.cowslipstair.model.config.ServiceName;
import org.cowslipstair.model.tenant.KeyDigest;
import org.cowslipstair.model.tenant.Quota;
import org.cowslipstair.model.tenant.Tenant;
import org.cowslipstair.model.tenant.TenantName;
import org.cowslipstair.model.traffic.CallerBounds;
import org.cowslipstair.model.traffic.RequestKind;
import org.cowslipstair.model.traffic.Route;
import org.cowslipstair.model.traffic.ServiceConfig;
import org.cowslipstair.model.traffic.TrafficPlan;
import org.cowslipstair.model.traffic.WeightedService;
import org.junit.jupiter.api.Test;

final class PlanCheckTest {
  private static final ServiceConfig PAGES =
      new ServiceConfig(new ServiceName("pages"), "/healthz", 100, 2);

  private static Route route(String name, String prefix, long timeoutMs, String service) {
    return new Route(
        name,
        "a.example",
        prefix,
        RequestKind.SAFE,
        timeoutMs,
        300,
        0,
        2,
        List.of(new WeightedService(new ServiceName(service), 1)));
  }

  private static TrafficPlan plan(long version, List<Route> routes, Tenant... tenants) {
    return new TrafficPlan(
        version, CallerBounds.defaults(), List.of(PAGES), routes, List.of(tenants));
  }

  private static Tenant tenant(String name, Optional<Quota> quota, String... keys) {
    Set<KeyDigest> digests = Set.copyOf(Stream.of(keys).map(KeyDigest::of).toList());
    return new Tenant(new TenantName(name), digests, quota, OptionalInt.empty());
  }

  private static List<String> texts(List<Finding> findings) {
    return findings.stream().map(Finding::toString).toList();
  }

  @Test
  void soundConfigurationHasNoFindings() {
    TrafficPlan plan = plan(1, List.of(route("r", "/p/", 900, "pages")));
    assertThat(texts(PlanCheck.check(plan)), is(empty()));
  }

  @Test
  void routeBehindAnEqualOneNeverMatches() {
    TrafficPlan plan =
        plan(1, List.of(route("r1", "/p/", 900, "pages"), route("r2", "/p/", 900, "pages")));
    assertThat(
        texts(PlanCheck.check(plan)),
        contains(
            "never matches: route \"r2\": route \"r1\" has the same host and prefix and takes its"
                + " requests"));
  }

  @Test
  void findsUndefinedServicesAndTimeoutsBelowTargets() {
    TrafficPlan plan = plan(1, List.of(route("r", "/p/", 200, "none")));
    assertThat(
        texts(PlanCheck.check(plan)),
        contains(
            "never matches: service \"pages\": no route leads to it",
            "contradiction: route \"r\": its timeout of 200 ms ends before its target latency of"
                + " 300 ms",
            "error: route \"r\": service \"none\" is not defined"));
  }

  @Test
  void findsSharedKeysAndQuotasThatAllowNothing() {
    TrafficPlan plan =
        plan(
            1,
            List.of(route("r", "/p/", 900, "pages")),
            tenant("t1", Optional.empty(), "k1"),
            tenant("t2", Optional.of(new Quota(0.2, 0)), "k1"));
    assertThat(
        texts(PlanCheck.check(plan)),
        contains(
            "error: tenant \"t2\": it shares a key with tenant \"t1\"",
            "contradiction: tenant \"t2\": its quota of 0.2 a second with a burst of 0.0 allows no"
                + " whole request"));
  }

  @Test
  void differenceNamesWhatItDoesToCallersAndNoKey() {
    TrafficPlan inForce =
        plan(
            7,
            List.of(route("r1", "/p/", 900, "pages"), route("r2", "/p/q/", 900, "pages")),
            tenant("t1", Optional.of(new Quota(5, 2)), "k1", "k2"));
    TrafficPlan next =
        plan(
            8,
            List.of(route("r1", "/p/", 800, "pages")),
            tenant("t1", Optional.of(new Quota(4, 2)), "k2"));
    assertThat(
        texts(PlanDifference.between(inForce, next)),
        contains(
            "difference: route \"r1\": timeout in ms: 900 -> 800",
            "difference: route \"r2\": removed; its requests go to route \"r1\"",
            "difference: tenant \"t1\": 1 keys withdrawn; callers that use them get 401",
            "difference: tenant \"t1\": quota: 5.0 a second, burst 2.0 -> 4.0 a second, burst"
                + " 2.0"));
  }

  @Test
  void lowerVersionIsAnError() {
    TrafficPlan plan = plan(7, List.of(route("r", "/p/", 900, "pages")));
    assertThat(
        texts(PlanDifference.between(plan, plan)),
        hasItem("error: version 7: version 7 is in force; a lower one never takes effect"));
  }
}
