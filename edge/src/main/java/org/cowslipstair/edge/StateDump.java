package org.cowslipstair.edge;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import org.cowslipstair.edge.backend.BackendEntry;
import org.cowslipstair.edge.backend.BackendTable;
import org.cowslipstair.edge.permit.PermitService;
import org.cowslipstair.edge.quarantine.QuarantineService;
import org.cowslipstair.edge.quota.QuotaService;
import org.cowslipstair.edge.quota.QuotaStatus;
import org.cowslipstair.edge.relay.StateSync;
import org.cowslipstair.edge.rollout.RolloutService;
import org.cowslipstair.logic.placement.BackendStats;
import org.cowslipstair.logic.quarantine.SuspectRequest;
import org.cowslipstair.logic.quota.QuotaIssuer;
import org.cowslipstair.logic.rollout.VersionShare;
import org.cowslipstair.logic.traffic.TrafficStateCache;
import org.cowslipstair.model.config.ServiceName;
import org.cowslipstair.model.rollout.RolloutOrder;
import org.cowslipstair.model.traffic.BackendInstance;
import org.cowslipstair.model.traffic.GatewayEntry;
import org.cowslipstair.model.traffic.TrafficPlan;
import org.cowslipstair.port.ObjectFeed.Collection;

/** Writes the state of a gateway as JSON for operators. Used on the event loop only. */
final class StateDump {
  private static final long NS_PER_MS = 1_000_000L;

  private final TrafficStateCache stateCache;
  private final BackendTable table;
  private final StateSync sync;
  private final PermitService permits;
  private final QuarantineService quarantine;
  private final QuotaService quotas;
  private final Supplier<Map<ServiceName, Integer>> waitingRequests;
  private final Optional<RolloutService> rollouts;

  StateDump(
      TrafficStateCache stateCache,
      BackendTable table,
      StateSync sync,
      PermitService permits,
      QuarantineService quarantine,
      QuotaService quotas,
      Optional<RolloutService> rollouts,
      Supplier<Map<ServiceName, Integer>> waitingRequests) {
    this.stateCache = stateCache;
    this.table = table;
    this.sync = sync;
    this.permits = permits;
    this.quarantine = quarantine;
    this.quotas = quotas;
    this.waitingRequests = waitingRequests;
    this.rollouts = rollouts;
  }

  /** Returns the state as JSON. Times are in milliseconds from now. */
  String json(FrontSettings settings, boolean isReady, int callerConnections, long nowNs) {
    ObjectNode root = JsonNodeFactory.instance.objectNode();
    root.put("name", settings.name()).put("zone", settings.zone().value()).put("ready", isReady);
    root.put("callerConnections", callerConnections);
    root.put("configurationVersion", table.state().plan().map(plan -> plan.version()).orElse(0L));
    ArrayNode tenants = root.putArray("tenants");
    table.state().plan().ifPresent(plan -> addTenants(tenants, plan));
    ObjectNode revisions = root.putObject("revisions");
    for (Collection collection : Collection.values()) {
      revisions.put(collection.name().toLowerCase(Locale.ROOT), stateCache.revision(collection));
    }
    root.put("storeEpoch", stateCache.position(Collection.CONFIGURATION).epoch());
    ObjectNode relay = root.putObject("relay");
    relay
        .put("watchesStore", sync.isWatching())
        .put("isSupplied", sync.isSupplied())
        .put("stateIsCurrent", sync.isCurrent())
        .put("supplies", sync.subscriberCount());
    sync.proofAgeMs().ifPresent(ageMs -> relay.put("storeProofAgeMs", ageMs));
    ObjectNode suppliers = relay.putObject("proofAgeMsBySupplier");
    sync.suppliers().forEach(suppliers::put);
    ArrayNode zonesOut = root.putArray("zonesOut");
    table.state().zonesOut().forEach(zone -> zonesOut.add(zone.value()));
    ArrayNode gateways = root.putArray("gateways");
    stateCache.gateways().stream().map(GatewayEntry::name).sorted().forEach(gateways::add);
    ArrayNode backends = root.putArray("backends");
    List<BackendEntry> entries =
        table.entries().stream()
            .sorted(Comparator.comparing(entry -> entry.stats().instance().name().value()))
            .toList();
    entries.forEach(entry -> backends.add(backend(entry, nowNs)));
    ObjectNode waiting = root.putObject("waitingRequests");
    waitingRequests.get().forEach((service, count) -> waiting.put(service.value(), count));
    ArrayNode suspects = root.putArray("suspectedRequests");
    quarantine.suspects().stream()
        .sorted(Comparator.comparing(suspect -> suspect.fingerprint().hex()))
        .forEach(suspect -> suspects.add(suspect(suspect, nowNs)));
    putQuota(root.putObject("quota"), quotas.status(), nowNs);
    ArrayNode rolloutNodes = root.putArray("rollouts");
    rollouts.map(RolloutService::summaries).orElse(List.of()).stream()
        .map(StateDump::rollout)
        .forEach(rolloutNodes::add);
    return root.toPrettyString();
  }

  private static void putQuota(ObjectNode node, QuotaStatus status, long nowNs) {
    status.lentTo().ifPresent(gateway -> node.put("shareLentTo", gateway));
    node.put("shareOfFleetLentHere", status.lentShare())
        .put("granted", status.grantedCount())
        .put("denied", status.deniedCount())
        .put("forwarded", status.forwardedCount())
        .put("unanswered", status.unansweredCount())
        .put("refused", status.refusedCount());
    ArrayNode tenants = node.putArray("topTenantsIssuedHere");
    for (QuotaIssuer.Usage usage : status.topUsages()) {
      tenants
          .addObject()
          .put("name", usage.tenant().value())
          .put("requestsPerSecond", usage.bounds().quota().requestsPerSecond())
          .put("burst", usage.bounds().quota().burstRequests())
          .put("issuedInWindow", usage.issuedInWindow())
          .put("available", usage.tokens())
          .put("lastIssuedMs", (nowNs - usage.lastIssuedNs()) / NS_PER_MS);
    }
  }

  /** Adds the tenants with the numbers of their keys; no dump has a key or its digest. */
  private static void addTenants(ArrayNode nodes, TrafficPlan plan) {
    plan.tenants().stream()
        .sorted(Comparator.comparing(tenant -> tenant.name().value()))
        .forEach(
            tenant ->
                nodes
                    .addObject()
                    .put("name", tenant.name().value())
                    .put("keys", tenant.keys().size())
                    .put("keysOfOthersToo", plan.sharedKeyCount(tenant)));
  }

  private static ObjectNode rollout(RolloutService.Summary summary) {
    RolloutOrder order = summary.order();
    ObjectNode node = JsonNodeFactory.instance.objectNode();
    node.put("service", order.service().value())
        .put("target", order.target().value())
        .put("status", VersionShare.statusOf(order).map(Enum::name).orElse(""))
        .put("decider", summary.decider())
        .put("told", summary.directive().orElse(""))
        .put("sentToTarget", summary.counts().target().sent())
        .put("sentToOthers", summary.counts().others().sent());
    return node;
  }

  private ObjectNode suspect(SuspectRequest suspect, long nowNs) {
    ObjectNode node = JsonNodeFactory.instance.objectNode();
    node.put("fingerprint", suspect.fingerprint().hex())
        .put("heldBack", quarantine.isHeldBack(suspect))
        .put("crashes", suspect.crashCount())
        .put("trials", suspect.trials())
        .put("lastSeenMs", (nowNs - suspect.lastSeenNs()) / NS_PER_MS);
    ArrayNode backends = node.putArray("ranOn");
    suspect.crashes().keySet().stream()
        .map(process -> process.name().value())
        .sorted()
        .forEach(backends::add);
    return node;
  }

  private ObjectNode backend(BackendEntry entry, long nowNs) {
    BackendStats stats = entry.stats();
    BackendInstance instance = stats.instance();
    ObjectNode node = JsonNodeFactory.instance.objectNode();
    node.put("name", instance.name().value())
        .put("service", instance.service().value())
        .put("address", instance.address().toString())
        .put("zone", instance.zone().value())
        .put("leaving", instance.leaving())
        .put("takesRequests", table.acceptsRequests(entry))
        .put("healthy", stats.isHealthy())
        .put("cold", stats.isCold(nowNs))
        .put("paused", stats.isBackingOff(nowNs))
        .put("requestsFromHere", stats.inFlight())
        .put("failureShare", stats.failureShare(nowNs))
        .put("connections", entry.openConnections());
    node.put("saysThatItLeaves", stats.notices().isLeaving());
    stats
        .notices()
        .pauseEndsInNs(nowNs)
        .ifPresent(endsInNs -> node.put("wantsNothingForMs", endsInNs / NS_PER_MS));
    if (stats.rateLimit().isPresent()) {
      node.put("rateLimitPerSecond", stats.rateLimit().get().requestsPerSecond());
      permits.issuer(entry).ifPresent(issuer -> node.put("permitIssuer", issuer));
    }
    node.put("requestsWhileLimited", stats.limitedRequestCount())
        .put("probesWhileLimited", stats.limitedProbeCount());
    stats
        .recentReport(nowNs)
        .ifPresent(
            load ->
                node.putObject("load")
                    .put("running", load.running())
                    .put("waiting", load.waiting())
                    .put("slots", load.slots())
                    .put("pace", load.slowdownFactor()));
    return node;
  }
}
