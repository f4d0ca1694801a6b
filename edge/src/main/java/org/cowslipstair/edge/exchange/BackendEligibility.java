package org.cowslipstair.edge.exchange;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.LongStream;
import org.cowslipstair.edge.backend.BackendEntry;
import org.cowslipstair.logic.placement.BackendStats;
import org.cowslipstair.logic.ratelimit.PermitIssuer;
import org.cowslipstair.logic.rollout.VersionChoice;
import org.cowslipstair.model.call.NotRunReason;
import org.cowslipstair.model.config.ServiceName;
import org.cowslipstair.model.traffic.ServiceConfig;

/**
 * Decides whether the backend servers of a service may be probed and may receive a request now:
 * whether they accept requests, are cold, or limit their rate.
 */
final class BackendEligibility {
  private final ExchangeContext context;
  private final ServiceName service;
  private final VersionChoice versions;
  private final double maxColdRequestsPerSecond;

  BackendEligibility(
      ExchangeContext context, SelectionCriteria criteria, Optional<ServiceConfig> serviceConfig) {
    this.context = context;
    this.service = criteria.service();
    this.versions = criteria.versions();
    this.maxColdRequestsPerSecond =
        serviceConfig.map(ServiceConfig::coldRequestsPerSecond).orElse(0.0)
                * context.settings().coldFactor()
            + context.settings().coldSlack();
  }

  /** Returns whether a backend server may be probed, or a permit for it requested. */
  boolean canProbe(BackendEntry entry) {
    boolean isWarm = !entry.stats().isCold(context.nowNs());
    return context.table().acceptsRequests(entry)
        && versions.allows(entry.stats().instance().version())
        && (isWarm || canUseCold(entry))
        && (entry.stats().rateLimit().isEmpty() || canRequestPermit(entry));
  }

  /** Without a free slot, a permit would be lost. */
  private boolean canRequestPermit(BackendEntry entry) {
    return entry.stats().inFlight() < entry.stats().instance().slots()
        && context.fleet().permits().canRequest(entry);
  }

  /**
   * Returns whether a backend server may receive a request.
   *
   * @param permitUntilNs monotonic time until which a permit allows it; empty without a permit
   */
  boolean canUse(BackendEntry entry, OptionalLong permitUntilNs) {
    return context.table().acceptsRequests(entry)
        && context.isPermitted(entry, permitUntilNs)
        && (!needsColdAllowance(entry) || canUseCold(entry));
  }

  /**
   * Returns whether a request counts toward what a cold backend server can bear: if it is cold, or
   * can be cold unnoticed and gets more requests than a cold one can bear.
   */
  boolean needsColdAllowance(BackendEntry entry) {
    long nowNs = context.nowNs();
    BackendStats stats = entry.stats();
    return stats.rateLimit().isPresent() && !needsProbe(entry)
        ? stats.isCold(nowNs)
        : stats.canBeCold(maxUnprobedRequests(), nowNs);
  }

  /**
   * Returns the number of requests without a probe after which a backend server counts as cold:
   * half of what a cold one can handle in a second, so that two gateways together do not overload
   * one that becomes cold unnoticed.
   */
  private int maxUnprobedRequests() {
    return Math.max(1, (int) (maxColdRequestsPerSecond / 2));
  }

  /**
   * Returns whether a request to a backend server that limits its rate needs a probe before it,
   * which counts toward the limit like the request. Without one, the server may have become cold,
   * begun to leave or become healthy again unnoticed.
   */
  boolean needsProbe(BackendEntry entry) {
    BackendStats stats = entry.stats();
    double maxInOneSecond =
        stats.rateLimit().map(limit -> limit.requestsPerSecond()).orElse(Double.MAX_VALUE)
            + PermitIssuer.MAX_BURST;
    return maxInOneSecond > maxColdRequestsPerSecond
        || !stats.isHealthy()
        || context.table().state().isUnconfirmed(stats.instance().name());
  }

  private boolean canUseCold(BackendEntry entry) {
    return context
        .fleet()
        .coldAllowance()
        .maySend(
            entry.stats().instance().name(),
            maxColdRequestsPerSecond,
            context.fleet().gateways().get(),
            context.nowNs());
  }

  /**
   * Returns the expected time until a backend server of the service that limits its rate has a
   * permit; empty if none limits its rate.
   */
  private OptionalLong permitInNs() {
    return context.table().eligible(service).stream()
        .filter(entry -> entry.stats().rateLimit().isPresent())
        .mapToLong(context.fleet().permits()::availableInNs)
        .min();
  }

  /**
   * Returns the expected time until a backend server of the service wants requests again; empty if
   * none pauses.
   */
  private OptionalLong pauseEndsInNs() {
    long nowNs = context.nowNs();
    return context.table().eligible(service).stream()
        .flatMapToLong(entry -> entry.stats().notices().pauseEndsInNs(nowNs).stream())
        .min();
  }

  /**
   * Returns the expected time until a backend server that limits its rate or pauses takes a
   * request; empty if there is none.
   */
  OptionalLong availableInNs() {
    return LongStream.concat(permitInNs().stream(), pauseEndsInNs().stream()).min();
  }

  /** Returns why no backend server of the service can be reached. */
  NotRunReason unreachableReason() {
    List<BackendEntry> entries = context.table().eligible(service);
    if (entries.stream().allMatch(entry -> entry.stats().notices().isLeaving())) {
      return NotRunReason.NO_BACKEND;
    }
    if (pauseEndsInNs().isPresent()) {
      return NotRunReason.BACKENDS_PAUSED;
    }
    return permitInNs().isPresent() ? NotRunReason.RATE_LIMITED : NotRunReason.BACKEND_UNREACHABLE;
  }
}
