package org.cowslipstair.edge.rollout;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cowslipstair.logic.rollout.Directive;
import org.cowslipstair.logic.rollout.OutcomeCounts;
import org.cowslipstair.logic.rollout.RolloutReport;
import org.cowslipstair.logic.rollout.RouteCounts;
import org.cowslipstair.logic.rollout.VersionShare;
import org.cowslipstair.model.config.ServiceName;
import org.cowslipstair.model.rollout.RolloutOrder;
import org.cowslipstair.model.rollout.RolloutPolicy;
import org.cowslipstair.model.rollout.ServiceVersion;
import org.cowslipstair.model.traffic.BackendInstance;

/** The versions of one service as this gateway sees them, and what it has sent to each. */
final class LocalRollout {
  /** Multiple of the usual time of other versions beyond which an answer is slow. */
  private static final double SLOW_FACTOR = 3;

  /** Weight of the newest answer in the usual time. */
  private static final double NEWEST_WEIGHT = 0.1;

  /** Time for which all sends have to go to the new version before the others count as idle. */
  private static final long SETTLED_NS = 200_000_000L;

  private static final long NS_PER_MS = 1_000_000L;

  private final ServiceName service;
  private final VersionShare share;
  private final Map<Optional<ServiceVersion>, Integer> inFlight = new HashMap<>();
  private final Map<String, RouteCounts> routes = new HashMap<>();
  private final Map<String, Double> usualNs = new HashMap<>();
  private Optional<RolloutOrder> open = Optional.empty();
  private int orderNumber;
  private long orderedNs;
  private long onlyTargetSinceNs;
  private boolean isOnlyTarget;

  LocalRollout(ServiceName service, RolloutPolicy policy) {
    this.service = service;
    this.share = new VersionShare(policy);
  }

  VersionShare share() {
    return share;
  }

  Optional<RolloutOrder> openOrder() {
    return open;
  }

  /** Applies what the store tells; returns whether there is another order to carry out. */
  boolean update(
      Optional<RolloutOrder> order,
      Set<ServiceVersion> versions,
      boolean hasUnversioned,
      long nowNs) {
    share.update(order, versions, hasUnversioned, nowNs);
    Optional<ServiceVersion> previousTarget = open.map(RolloutOrder::target);
    open = share.openOrder();
    boolean isNew = open.isPresent() && !open.map(RolloutOrder::target).equals(previousTarget);
    if (isNew) {
      orderNumber++;
      orderedNs = nowNs;
      isOnlyTarget = false;
      routes.clear();
      usualNs.clear();
    }
    return isNew;
  }

  /** Applies a directive about the order that this gateway knows. */
  void direct(ServiceVersion target, Directive directive, long nowNs, long leaseNs) {
    if (open.filter(order -> order.target().equals(target)).isEmpty()) {
      return;
    }
    boolean wasOnlyTarget = isOnlyTarget;
    share.direct(directive, nowNs + leaseNs);
    isOnlyTarget = directive instanceof Directive.OnlyTarget;
    if (isOnlyTarget && !wasOnlyTarget) {
      onlyTargetSinceNs = nowNs;
    }
  }

  RolloutReport report(RolloutOrder order, String gateway, long boot, long nowNs) {
    return new RolloutReport(
        service,
        order.target(),
        gateway,
        boot,
        (nowNs - orderedNs) / NS_PER_MS,
        share.hasTarget(),
        isDrained(order, nowNs),
        routes);
  }

  private boolean isDrained(RolloutOrder order, long nowNs) {
    boolean isSettled =
        isOnlyTarget
            && share.directive(nowNs).isPresent()
            && nowNs - onlyTargetSinceNs >= SETTLED_NS;
    return isSettled
        && inFlight.entrySet().stream()
            .allMatch(e -> e.getKey().equals(Optional.of(order.target())) || e.getValue() == 0);
  }

  /** Returns the sum of the outcomes on all routes. */
  RouteCounts sum() {
    return routes.values().stream().reduce(RouteCounts.none(), RouteCounts::plus);
  }

  Send recordSent(String route, BackendInstance backend, double initialUsualNs, long nowNs) {
    inFlight.merge(backend.version(), 1, Integer::sum);
    usualNs.putIfAbsent(route, initialUsualNs);
    Send send = new Send(route, backend.version(), backend.coldUntilNs(), nowNs);
    send.count(new OutcomeCounts(1, 0, 0, 0));
    return send;
  }

  /** A request that was sent to one version while one order, or none, was open. */
  final class Send {
    private final String route;
    private final Optional<ServiceVersion> version;
    private final boolean isCold;
    private final long sentNs;
    private final int sentUnderOrder = orderNumber;

    Send(String route, Optional<ServiceVersion> version, long coldUntilNs, long sentNs) {
      this.route = route;
      this.version = version;
      this.isCold = sentNs - coldUntilNs < 0;
      this.sentNs = sentNs;
    }

    void recordEnd(VersionRouting.Ending ending, long nowNs) {
      inFlight.merge(version, -1, Integer::sum);
      long durationNs = nowNs - sentNs;
      double usual = usualNs.getOrDefault(route, (double) durationNs);
      boolean isSlow = durationNs > SLOW_FACTOR * usual;
      // A server that has just started is slow whatever its version.
      boolean isSlowByVersion = isSlow && !isCold;
      count(
          switch (ending) {
            case SUCCEEDED ->
                new OutcomeCounts(0, isSlow && isCold ? 0 : 1, 0, isSlowByVersion ? 1 : 0);
            case FAILED -> new OutcomeCounts(0, 1, 1, 0);
            case REFUSED -> OutcomeCounts.none();
            case CANCELLED ->
                isSlowByVersion ? new OutcomeCounts(0, 1, 0, 1) : OutcomeCounts.none();
          });
      if (ending == VersionRouting.Ending.SUCCEEDED && !isTarget()) {
        usualNs.put(route, usual + NEWEST_WEIGHT * (durationNs - usual));
      }
    }

    private boolean isTarget() {
      return open.isPresent() && version.equals(open.map(RolloutOrder::target));
    }

    private void count(OutcomeCounts counts) {
      if (open.isPresent() && sentUnderOrder == orderNumber) {
        RouteCounts added =
            isTarget()
                ? new RouteCounts(counts, OutcomeCounts.none())
                : new RouteCounts(OutcomeCounts.none(), counts);
        routes.merge(route, added, RouteCounts::plus);
      }
    }
  }
}
