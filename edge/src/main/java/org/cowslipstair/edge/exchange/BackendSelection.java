package org.cowslipstair.edge.exchange;

import io.netty.util.concurrent.ScheduledFuture;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.cowslipstair.edge.backend.BackendEntry;
import org.cowslipstair.edge.backend.Prober;
import org.cowslipstair.edge.http.ServerConnection;
import org.cowslipstair.logic.placement.LatencyEstimate;
import org.cowslipstair.logic.placement.PlacementRule;
import org.cowslipstair.model.call.NotRunReason;
import org.cowslipstair.model.config.BackendName;
import org.cowslipstair.model.config.ServiceName;
import org.cowslipstair.model.traffic.LoadReport;
import org.cowslipstair.model.traffic.ServiceConfig;
import org.jspecify.annotations.Nullable;

/**
 * Selects a backend server for one send. Probes candidates for their load, in rounds of increasing
 * size, those of the own zone first. Selects the first one that has a free slot and runs at its
 * usual pace, or else the best one found; see {@link PlacementRule}.
 */
final class BackendSelection {
  /** Number of candidates probed in each round; the last size is repeated. */
  private static final int[] ROUND_SIZES = {1, 2, 4};

  /** Time after which a round ends although responses are missing. */
  private static final long ROUND_TIMEOUT_MS = 15;

  private final ExchangeContext context;
  private final Criteria criteria;
  private final Listener listener;
  private final PlacementRule rule;
  private final ProbeCandidates candidates;
  private final List<RankedBackend> rankedBackends = new ArrayList<>();
  private final String healthPath;
  private final double maxColdRequestsPerSecond;
  private @Nullable ScheduledFuture<?> roundTimer;
  private int pendingProbes;
  private int roundIndex;
  private boolean finished;

  /**
   * Requirements of the selection.
   *
   * @param excluded backend servers that must not be selected
   */
  record Criteria(ServiceName service, Set<BackendName> excluded, PlacementRule rule) {}

  /**
   * A selected backend server.
   *
   * @param connection connection to it; empty if one must be acquired
   * @param estimate expected duration in multiples of the usual service time
   * @param load load report that the selection was based on
   */
  record Selected(
      BackendEntry entry,
      Optional<ServerConnection> connection,
      double estimate,
      Optional<LoadReport> load) {}

  /** Receives the result; exactly one method is called, once, unless the selection is cancelled. */
  interface Listener {
    /** A backend server was selected; the listener owns the connection. */
    void onSelected(Selected selected);

    /**
     * No backend server can be used.
     *
     * @param roomInNs expected time until a backend server has room; empty if unknown
     * @param detail load of the candidates, for logs
     */
    void onNoneSelected(NotRunReason reason, OptionalLong roomInNs, String detail);
  }

  private record RankedBackend(
      BackendEntry entry,
      boolean isLocal,
      Optional<ServerConnection> connection,
      Optional<LoadReport> load,
      LatencyEstimate estimate) {
    PlacementRule.Option option() {
      return new PlacementRule.Option(estimate, isLocal);
    }
  }

  BackendSelection(ExchangeContext context, Criteria criteria, Listener listener) {
    this.context = context;
    this.criteria = criteria;
    this.listener = listener;
    Optional<ServiceConfig> serviceConfig =
        context.table().state().plan().flatMap(plan -> plan.service(criteria.service()));
    this.healthPath = serviceConfig.map(ServiceConfig::healthPath).orElse("/");
    this.maxColdRequestsPerSecond =
        serviceConfig.map(ServiceConfig::coldRequestsPerSecond).orElse(0.0)
                * context.settings().coldFactor()
            + context.settings().coldSlack();
    this.rule = criteria.rule();
    this.candidates =
        new ProbeCandidates(context, criteria.service(), criteria.excluded(), this::canProbe);
  }

  /** Starts the first round of probes. */
  void start() {
    if (candidates.isEmpty()) {
      finished = true;
      boolean hasNoBackend = context.table().eligible(criteria.service()).isEmpty();
      listener.onNoneSelected(
          hasNoBackend ? NotRunReason.NO_BACKEND : NotRunReason.BACKEND_UNREACHABLE,
          OptionalLong.empty(),
          detail());
      return;
    }
    startRound(!candidates.hasLocal());
  }

  /** Stops the selection; the listener is not called any more. */
  void cancel() {
    if (!finished) {
      finish();
      releaseConnectionsExcept(null);
    }
  }

  private void startRound(boolean inOtherZones) {
    int size = ROUND_SIZES[Math.min(roundIndex, ROUND_SIZES.length - 1)];
    roundIndex++;
    int startedProbes = 0;
    while (startedProbes < size
        && (inOtherZones ? candidates.hasOthers() : candidates.hasLocal())
        && !finished) {
      probe(inOtherZones ? candidates.takeOther() : candidates.takeLocal(), !inOtherZones);
      startedProbes++;
    }
    if (finished) {
      return;
    }
    if (pendingProbes == 0) {
      onRoundEnd();
      return;
    }
    startRoundTimer();
  }

  private void startRoundTimer() {
    cancelTimer();
    roundTimer = context.loop().schedule(this::onRoundEnd, ROUND_TIMEOUT_MS, TimeUnit.MILLISECONDS);
  }

  private void probe(BackendEntry entry, boolean isLocal) {
    pendingProbes++;
    context
        .prober()
        .probe(
            entry,
            healthPath,
            new Prober.Listener() {
              @Override
              public void onResponse(ServerConnection connection, Optional<LoadReport> report) {
                pendingProbes--;
                BackendSelection.this.onProbeResponse(entry, isLocal, connection, report);
              }

              @Override
              public void onFailure(Prober.ProbeFailure failure) {
                pendingProbes--;
                BackendSelection.this.onProbeFailure(entry, isLocal, failure);
              }
            });
  }

  private void onProbeResponse(
      BackendEntry entry,
      boolean isLocal,
      ServerConnection connection,
      Optional<LoadReport> report) {
    if (finished || !canUse(entry)) {
      context.table().release(entry, connection);
      onProbeFinished();
      return;
    }
    long nowNs = context.nowNs();
    double failureShare = serviceFailureShare(nowNs);
    LatencyEstimate estimate =
        report
            .map(load -> LatencyEstimate.fromReport(load, entry.stats(), failureShare, nowNs))
            .orElseGet(() -> LatencyEstimate.withoutProbe(entry.stats(), failureShare, nowNs));
    RankedBackend backend =
        new RankedBackend(entry, isLocal, Optional.of(connection), report, estimate);
    rankedBackends.add(backend);
    if (PlacementRule.isGood(estimate)) {
      select(backend);
      return;
    }
    onProbeFinished();
  }

  private void onProbeFailure(BackendEntry entry, boolean isLocal, Prober.ProbeFailure failure) {
    if (!finished && failure == Prober.ProbeFailure.OVER_BUDGET && canUse(entry)) {
      long nowNs = context.nowNs();
      LatencyEstimate estimate =
          LatencyEstimate.withoutProbe(entry.stats(), serviceFailureShare(nowNs), nowNs);
      rankedBackends.add(
          new RankedBackend(entry, isLocal, Optional.empty(), Optional.empty(), estimate));
    }
    onProbeFinished();
  }

  private double serviceFailureShare(long nowNs) {
    return context.serviceFailures(criteria.service()).share(nowNs);
  }

  private void onProbeFinished() {
    if (!finished && pendingProbes == 0) {
      onRoundEnd();
    }
  }

  private void onRoundEnd() {
    if (finished) {
      return;
    }
    long nowNs = context.nowNs();
    Optional<RankedBackend> best = best(nowNs);
    PlacementRule.Remaining remaining =
        new PlacementRule.Remaining(
            candidates.hasLocal(), candidates.hasOthers(), pendingProbes > 0);
    Runnable step =
        switch (rule.next(best.map(RankedBackend::option), remaining, nowNs)) {
          case SELECT -> () -> select(best.orElseThrow());
          case PROBE_LOCAL -> () -> startRound(false);
          case PROBE_OTHER_ZONES -> () -> startRound(true);
          case AWAIT_RESPONSES -> this::startRoundTimer;
          case REFUSE_NO_ROOM -> () -> refuse(NotRunReason.NO_FREE_SLOT);
          case REFUSE_UNREACHABLE -> () -> refuse(NotRunReason.BACKEND_UNREACHABLE);
        };
    step.run();
  }

  private Optional<RankedBackend> best(long nowNs) {
    RankedBackend best = null;
    for (RankedBackend backend : rankedBackends) {
      boolean isConnectionLost =
          backend.connection.isPresent() && !backend.connection.get().isIdle();
      if (isConnectionLost || !canUse(backend.entry)) {
        continue;
      }
      if (best == null || rule.isBetter(backend.option(), best.option(), nowNs)) {
        best = backend;
      }
    }
    return Optional.ofNullable(best);
  }

  private boolean canProbe(BackendEntry entry) {
    boolean isWarm = !entry.stats().isCold(context.nowNs());
    return context.table().acceptsRequests(entry) && (isWarm || canUseCold(entry));
  }

  private boolean canUse(BackendEntry entry) {
    boolean isWarm = !entry.stats().canBeCold(context.nowNs());
    return context.table().acceptsRequests(entry) && (isWarm || canUseCold(entry));
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

  private void select(RankedBackend backend) {
    finish();
    releaseConnectionsExcept(backend);
    Optional<ServerConnection> usable = backend.connection.filter(ServerConnection::isReusable);
    if (usable.isEmpty()) {
      backend.connection.ifPresent(ServerConnection::close);
    }
    long nowNs = context.nowNs();
    if (backend.entry.stats().canBeCold(nowNs)) {
      context.fleet().coldAllowance().recordSend(backend.entry.stats().instance().name(), nowNs);
    }
    listener.onSelected(
        new Selected(backend.entry, usable, backend.estimate.total(), backend.load));
  }

  private void refuse(NotRunReason reason) {
    finish();
    releaseConnectionsExcept(null);
    listener.onNoneSelected(reason, roomInNs(), detail());
  }

  private OptionalLong roomInNs() {
    return rankedBackends.stream()
        .filter(backend -> canUse(backend.entry))
        .mapToLong(backend -> (long) (backend.estimate.queueTime() * rule.serviceTimeNs()))
        .min();
  }

  private void finish() {
    finished = true;
    cancelTimer();
  }

  private void cancelTimer() {
    if (roundTimer != null) {
      roundTimer.cancel(false);
    }
  }

  private void releaseConnectionsExcept(@Nullable RankedBackend selected) {
    for (RankedBackend backend : rankedBackends) {
      if (backend != selected) {
        backend.connection.ifPresent(
            connection -> context.table().release(backend.entry, connection));
      }
    }
  }

  /** Describes the load of the candidates, for logs. */
  private String detail() {
    StringBuilder text = new StringBuilder();
    text.append("known=").append(context.table().eligible(criteria.service()).size());
    text.append(" asked=").append(candidates.probeCount());
    text.append(" answered=").append(rankedBackends.size());
    for (RankedBackend backend : rankedBackends) {
      String load =
          backend.load.map(l -> l.running() + "+" + l.waiting() + "/" + l.slots()).orElse("?");
      text.append(' ').append(backend.entry.stats().instance().name()).append('=').append(load);
    }
    return text.toString();
  }
}
