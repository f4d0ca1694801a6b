package org.cowslipstair.edge.relay;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
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
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageUnpacker;

/** Encodes a configuration as MessagePack. */
final class PlanCodec {
  private PlanCodec() {}

  static void pack(MessageBufferPacker packer, TrafficPlan plan) throws IOException {
    CallerBounds bounds = plan.bounds();
    packer
        .packLong(plan.version())
        .packInt(bounds.maxHeadBytes())
        .packLong(bounds.maxBodyBytes())
        .packLong(bounds.headTimeoutMs())
        .packLong(bounds.idleTimeoutMs());
    packer.packArrayHeader(plan.services().size());
    for (ServiceConfig service : plan.services()) {
      packer
          .packString(service.name().value())
          .packString(service.healthPath())
          .packInt(service.maxConnections())
          .packDouble(service.coldRequestsPerSecond());
    }
    packer.packArrayHeader(plan.routes().size());
    for (Route route : plan.routes()) {
      packRoute(packer, route);
    }
    packer.packArrayHeader(plan.tenants().size());
    for (Tenant tenant : plan.tenants()) {
      packTenant(packer, tenant);
    }
  }

  private static void packTenant(MessageBufferPacker packer, Tenant tenant) throws IOException {
    packer.packString(tenant.name().value()).packArrayHeader(tenant.keys().size());
    for (KeyDigest key : tenant.keys()) {
      packer.packString(key.hex());
    }
    packer.packBoolean(tenant.quota().isPresent());
    if (tenant.quota().isPresent()) {
      Quota quota = tenant.quota().get();
      packer.packDouble(quota.requestsPerSecond()).packDouble(quota.burstRequests());
    }
    packer.packBoolean(tenant.priority().isPresent());
    if (tenant.priority().isPresent()) {
      packer.packInt(tenant.priority().getAsInt());
    }
  }

  private static Tenant unpackTenant(MessageUnpacker unpacker) throws IOException {
    TenantName name = new TenantName(unpacker.unpackString());
    Set<KeyDigest> keys = new HashSet<>();
    int keyCount = unpacker.unpackArrayHeader();
    for (int i = 0; i < keyCount; i++) {
      keys.add(new KeyDigest(unpacker.unpackString()));
    }
    Optional<Quota> quota =
        unpacker.unpackBoolean()
            ? Optional.of(new Quota(unpacker.unpackDouble(), unpacker.unpackDouble()))
            : Optional.empty();
    OptionalInt priority =
        unpacker.unpackBoolean() ? OptionalInt.of(unpacker.unpackInt()) : OptionalInt.empty();
    return new Tenant(name, keys, quota, priority);
  }

  private static void packRoute(MessageBufferPacker packer, Route route) throws IOException {
    packer
        .packString(route.name())
        .packString(route.host())
        .packString(route.pathPrefix())
        .packInt(route.kind().ordinal())
        .packLong(route.timeoutMs())
        .packLong(route.targetLatencyMs())
        .packInt(route.priority())
        .packInt(route.maxAttempts())
        .packBoolean(route.anonymous())
        .packArrayHeader(route.services().size());
    for (WeightedService service : route.services()) {
      packer.packString(service.service().value()).packDouble(service.weight());
    }
  }

  /**
   * Decodes a configuration.
   *
   * @param hasTenants false for one of a gateway of an earlier release, which knows no tenants
   */
  static TrafficPlan unpack(MessageUnpacker unpacker, boolean hasTenants) throws IOException {
    long version = unpacker.unpackLong();
    CallerBounds bounds =
        new CallerBounds(
            unpacker.unpackInt(),
            unpacker.unpackLong(),
            unpacker.unpackLong(),
            unpacker.unpackLong());
    List<ServiceConfig> services = new ArrayList<>();
    int serviceCount = unpacker.unpackArrayHeader();
    for (int i = 0; i < serviceCount; i++) {
      services.add(
          new ServiceConfig(
              new ServiceName(unpacker.unpackString()),
              unpacker.unpackString(),
              unpacker.unpackInt(),
              unpacker.unpackDouble()));
    }
    List<Route> routes = new ArrayList<>();
    int routeCount = unpacker.unpackArrayHeader();
    for (int i = 0; i < routeCount; i++) {
      routes.add(unpackRoute(unpacker, hasTenants));
    }
    List<Tenant> tenants = new ArrayList<>();
    int tenantCount = hasTenants ? unpacker.unpackArrayHeader() : 0;
    for (int i = 0; i < tenantCount; i++) {
      tenants.add(unpackTenant(unpacker));
    }
    return new TrafficPlan(version, bounds, services, routes, tenants);
  }

  private static Route unpackRoute(MessageUnpacker unpacker, boolean hasTenants)
      throws IOException {
    String name = unpacker.unpackString();
    String host = unpacker.unpackString();
    String pathPrefix = unpacker.unpackString();
    RequestKind kind = RequestKind.values()[unpacker.unpackInt()];
    long timeoutMs = unpacker.unpackLong();
    long targetLatencyMs = unpacker.unpackLong();
    int priority = unpacker.unpackInt();
    int maxAttempts = unpacker.unpackInt();
    boolean anonymous = hasTenants && unpacker.unpackBoolean();
    List<WeightedService> services = new ArrayList<>();
    int count = unpacker.unpackArrayHeader();
    for (int i = 0; i < count; i++) {
      services.add(
          new WeightedService(new ServiceName(unpacker.unpackString()), unpacker.unpackDouble()));
    }
    return new Route(
        name,
        host,
        pathPrefix,
        kind,
        timeoutMs,
        targetLatencyMs,
        priority,
        maxAttempts,
        services,
        anonymous);
  }
}
