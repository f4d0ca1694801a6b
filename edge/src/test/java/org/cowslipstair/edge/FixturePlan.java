package org.cowslipstair.edge;

import java.util.List;
import org.cowslipstair.model.tenant.Tenant;
import org.cowslipstair.model.traffic.CallerBounds;
import org.cowslipstair.model.traffic.RequestKind;
import org.cowslipstair.model.traffic.Route;
import org.cowslipstair.model.traffic.ServiceConfig;
import org.cowslipstair.model.traffic.TrafficPlan;
import org.cowslipstair.model.traffic.WeightedService;

/** The configuration of a {@link GatewayFixture}. */
final class FixturePlan {
  private FixturePlan() {}

  /** Returns a configuration with one route for each kind of request. */
  static TrafficPlan of(long version, List<Tenant> tenants) {
    CallerBounds bounds = new CallerBounds(4_096, 1 << 20, GatewayFixture.HEAD_TIMEOUT_MS, 5_000);
    return new TrafficPlan(
        version,
        bounds,
        List.of(new ServiceConfig(GatewayFixture.SERVICE, "/healthz", 100, 5)),
        List.of(
            route("safe", RequestKind.SAFE, GatewayFixture.LONG_TIMEOUT_MS),
            route("unsafe", RequestKind.UNSAFE, GatewayFixture.LONG_TIMEOUT_MS),
            route("upload", RequestKind.UPLOAD, GatewayFixture.LONG_TIMEOUT_MS),
            route("short", RequestKind.UNSAFE, GatewayFixture.SHORT_TIMEOUT_MS),
            route(
                "hedged",
                RequestKind.SAFE,
                GatewayFixture.LONG_TIMEOUT_MS,
                GatewayFixture.HEDGED_LATENCY_MS,
                false),
            route(
                "open",
                RequestKind.SAFE,
                GatewayFixture.LONG_TIMEOUT_MS,
                GatewayFixture.LONG_TIMEOUT_MS,
                true)),
        tenants);
  }

  private static Route route(String name, RequestKind kind, long timeoutMs) {
    // The target latency is long, so that a slow test machine causes no hedge.
    return route(name, kind, timeoutMs, GatewayFixture.LONG_TIMEOUT_MS, false);
  }

  private static Route route(
      String name, RequestKind kind, long timeoutMs, long targetLatencyMs, boolean anonymous) {
    return new Route(
        name,
        "a.example",
        "/" + name + "/",
        kind,
        timeoutMs,
        targetLatencyMs,
        0,
        2,
        List.of(new WeightedService(GatewayFixture.SERVICE, 1)),
        anonymous);
  }
}
