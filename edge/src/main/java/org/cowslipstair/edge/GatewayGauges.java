package org.cowslipstair.edge;

import java.util.Optional;
import java.util.function.LongSupplier;
import org.cowslipstair.edge.backend.BackendTable;
import org.cowslipstair.edge.caller.CallerContext;
import org.cowslipstair.edge.log.BoundedAppender;
import org.cowslipstair.edge.log.GatewayMetrics;
import org.cowslipstair.edge.permit.PermitService;
import org.cowslipstair.edge.quarantine.QuarantineService;
import org.cowslipstair.edge.quota.QuotaService;
import org.cowslipstair.edge.relay.StateSync;
import org.cowslipstair.edge.rollout.RolloutService;
import org.cowslipstair.logic.budget.ColdSendLimiter;
import org.cowslipstair.logic.budget.ProbeRateLimiter;
import org.cowslipstair.logic.traffic.TrafficStateCache;
import org.cowslipstair.port.MonotonicClock;
import org.cowslipstair.port.ObjectFeed.Collection;

/** Gauges of a gateway. Registered at the first scrape, since that would lengthen a start. */
record GatewayGauges(
    TrafficStateCache stateCache,
    BackendTable table,
    StateSync stateSync,
    ProbeRateLimiter probeRateLimiter,
    ColdSendLimiter coldSendLimiter,
    PermitService permits,
    QuarantineService quarantine,
    QuotaService quotas,
    Optional<RolloutService> rollouts,
    CallerContext callerContext,
    LongSupplier knownGateways,
    MonotonicClock clock) {
  /** Registers all gauges; they are read on the event loop. */
  void register(GatewayMetrics metrics) {
    metrics.registerGauge("log.lines.dropped", BoundedAppender::droppedLines);
    metrics.registerGauge(
        "configuration.version", () -> table.state().plan().map(p -> p.version()).orElse(0L));
    metrics.registerGauge(
        "store.epoch", () -> stateCache.position(Collection.CONFIGURATION).epoch());
    metrics.registerGauge(
        "store.revision.backends", () -> stateCache.revision(Collection.BACKENDS));
    metrics.registerGauge("backends.known", () -> table.entries().size());
    metrics.registerGauge("gateways.known", knownGateways::getAsLong);
    metrics.registerGauge("callers.open", callerContext::connectionCount);
    metrics.registerGauge("probes.sent", probeRateLimiter::acquiredCount);
    metrics.registerGauge("probes.over.budget", probeRateLimiter::refusedCount);
    metrics.registerGauge("cold.sends", coldSendLimiter::sentCount);
    metrics.registerGauge("permits.issued", permits::issuedCount);
    quotas.registerGauges(metrics);
    metrics.registerGauge("requests.suspected", () -> quarantine.suspects().size());
    metrics.registerGauge("requests.held.back", quarantine::heldBackCount);
    metrics.registerGauge(
        "backends.limited",
        () -> table.entries().stream().filter(e -> e.stats().rateLimit().isPresent()).count());
    metrics.registerGauge(
        "backends.leaving.by.notice",
        () -> table.entries().stream().filter(e -> e.stats().notices().isLeaving()).count());
    metrics.registerGauge(
        "backends.paused",
        () ->
            table.entries().stream()
                .filter(e -> e.stats().notices().isPaused(clock.nowNs()))
                .count());
    metrics.registerGauge(
        "limited.requests.sent",
        () -> table.entries().stream().mapToLong(e -> e.stats().limitedRequestCount()).sum());
    metrics.registerGauge(
        "limited.probes.sent",
        () -> table.entries().stream().mapToLong(e -> e.stats().limitedProbeCount()).sum());
    rollouts.ifPresent(service -> service.registerGauges(metrics));
    metrics.registerGauge("relay.subscribers", stateSync::subscriberCount);
    metrics.registerGauge("relay.watching", () -> stateSync.isWatching() ? 1 : 0);
    metrics.registerGauge("relay.supplied", () -> stateSync.isSupplied() ? 1 : 0);
  }
}
