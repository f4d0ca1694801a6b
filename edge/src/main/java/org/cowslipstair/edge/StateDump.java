package org.cowslipstair.edge;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import org.cowslipstair.edge.backend.BackendEntry;
import org.cowslipstair.edge.backend.BackendTable;
import org.cowslipstair.edge.permit.PermitService;
import org.cowslipstair.edge.relay.StateSync;
import org.cowslipstair.logic.placement.BackendStats;
import org.cowslipstair.logic.traffic.TrafficStateCache;
import org.cowslipstair.model.traffic.BackendInstance;
import org.cowslipstair.model.traffic.GatewayEntry;
import org.cowslipstair.port.ObjectFeed.Collection;

/** Writes the state of a gateway as JSON for operators. Used on the event loop only. */
final class StateDump {
  private final TrafficStateCache stateCache;
  private final BackendTable table;
  private final StateSync sync;
  private final PermitService permits;

  StateDump(
      TrafficStateCache stateCache, BackendTable table, StateSync sync, PermitService permits) {
    this.stateCache = stateCache;
    this.table = table;
    this.sync = sync;
    this.permits = permits;
  }

  /** Returns the state as JSON. Times are in milliseconds from now. */
  String json(FrontSettings settings, boolean isReady, int callerConnections, long nowNs) {
    ObjectNode root = JsonNodeFactory.instance.objectNode();
    root.put("name", settings.name()).put("zone", settings.zone().value()).put("ready", isReady);
    root.put("callerConnections", callerConnections);
    root.put("configurationVersion", table.state().plan().map(plan -> plan.version()).orElse(0L));
    ObjectNode revisions = root.putObject("revisions");
    for (Collection collection : Collection.values()) {
      revisions.put(collection.name().toLowerCase(Locale.ROOT), stateCache.revision(collection));
    }
    root.put("storeEpoch", stateCache.position(Collection.CONFIGURATION).epoch());
    root.putObject("relay")
        .put("watchesStore", sync.isWatching())
        .put("isSupplied", sync.isSupplied())
        .put("supplies", sync.subscriberCount());
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
    return root.toPrettyString();
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
