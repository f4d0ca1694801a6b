package org.cowslipstair.edge.exchange;

import io.netty.util.concurrent.ScheduledFuture;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.stream.LongStream;
import org.cowslipstair.edge.backend.BackendEntry;
import org.cowslipstair.edge.backend.Prober;
import org.cowslipstair.edge.http.ServerConnection;
import org.cowslipstair.edge.permit.PermitListener;
import org.cowslipstair.logic.placement.LatencyEstimate;
import org.cowslipstair.logic.placement.PlacementRule;
import org.cowslipstair.model.call.NotRunReason;
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
  private final SelectionCriteria criteria;
  private final Listener listener;
  private final PlacementRule rule;
  private final ProbeCandidates candidates;
  private final List<RankedBackend> rankedBackends = new ArrayList<>();
  private final String healthPath;
  private final BackendEligibility eligibility;
  private @Nullable ScheduledFuture<?> roundTimer;
  private int pendingProbes;
  private int roundIndex;
  private boolean finished;

  /**
   * A selected backend server.
   *
   * @param connection connection to it; empty if one must be acquired
   * @param permitUntilNs monotonic time until which a permit allows the request; empty if there is
   *     no permit
   * @param estimate expected duration in multiples of the usual service time
   * @param load load report that the selection was based on
   */
  record Selected(
      BackendEntry entry,
      Optional<ServerConnection> connection,
      OptionalLong permitUntilNs,
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

    /** No backend server has room in time now, but the request can wait; parameters as above. */
    void onDeferred(OptionalLong roomInNs, String detail);
  }

  BackendSelection(ExchangeContext context, SelectionCriteria criteria, Listener listener) {
    this.context = context;
    this.criteria = criteria;
    this.listener = listener;
    Optional<ServiceConfig> serviceConfig =
        context.table().state().plan().flatMap(plan -> plan.service(criteria.service()));
    this.healthPath = serviceConfig.map(ServiceConfig::healthPath).orElse("/");
    this.eligibility = new BackendEligibility(context, criteria, serviceConfig);
    this.rule = criteria.rule();
    this.candidates =
        new ProbeCandidates(
            context, criteria.service(), criteria.excluded(), eligibility::canProbe);
  }

  /** Starts the first round of probes. */
  void start() {
    if (candidates.isEmpty()) {
      onRoundEnd();
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

  /** Probes a backend server, or requests a permit if it limits its rate: probes count too. */
  private void probe(BackendEntry entry, boolean isLocal) {
    pendingProbes++;
    if (entry.stats().rateLimit().isPresent()) {
      requestPermit(entry, isLocal);
    } else {
      probeLoad(entry, isLocal, OptionalLong.empty());
    }
  }

  private void requestPermit(BackendEntry entry, boolean isLocal) {
    boolean needsProbe = eligibility.needsProbe(entry);
    context
        .fleet()
        .permits()
        .acquire(
            entry,
            needsProbe ? 2 : 1,
            new PermitListener() {
              @Override
              public void onGranted(long validUntilNs) {
                if (needsProbe && !finished) {
                  probeLoad(entry, isLocal, OptionalLong.of(validUntilNs));
                } else {
                  pendingProbes--;
                  onPermitGranted(entry, isLocal, validUntilNs);
                }
              }

              @Override
              public void onUnlimited() {
                if (finished) {
                  pendingProbes--;
                } else {
                  probeLoad(entry, isLocal, OptionalLong.empty());
                }
              }

              @Override
              public void onDenied() {
                pendingProbes--;
                onProbeFinished();
              }
            });
  }

  private void probeLoad(BackendEntry entry, boolean isLocal, OptionalLong permitUntilNs) {
    context
        .prober()
        .probe(
            entry,
            healthPath,
            new Prober.Listener() {
              @Override
              public void onResponse(ServerConnection connection, Optional<LoadReport> report) {
                pendingProbes--;
                BackendSelection.this.onProbeResponse(
                    entry, isLocal, permitUntilNs, connection, report);
              }

              @Override
              public void onFailure(Prober.ProbeFailure failure) {
                pendingProbes--;
                BackendSelection.this.onProbeFailure(entry, isLocal, permitUntilNs, failure);
              }
            });
  }

  private void onProbeResponse(
      BackendEntry entry,
      boolean isLocal,
      OptionalLong permitUntilNs,
      ServerConnection connection,
      Optional<LoadReport> report) {
    if (finished || !eligibility.canUse(entry, permitUntilNs)) {
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
        new RankedBackend(entry, isLocal, Optional.of(connection), permitUntilNs, report, estimate);
    rankedBackends.add(backend);
    if (rule.isGood(estimate, nowNs)) {
      select(backend);
      return;
    }
    onProbeFinished();
  }

  private void onProbeFailure(
      BackendEntry entry,
      boolean isLocal,
      OptionalLong permitUntilNs,
      Prober.ProbeFailure failure) {
    if (failure == Prober.ProbeFailure.OVER_BUDGET) {
      rankWithoutProbe(entry, isLocal, permitUntilNs);
    }
    onProbeFinished();
  }

  private void onPermitGranted(BackendEntry entry, boolean isLocal, long permitUntilNs) {
    Optional<RankedBackend> backend =
        rankWithoutProbe(entry, isLocal, OptionalLong.of(permitUntilNs));
    if (backend.filter(ranked -> rule.isGood(ranked.estimate(), context.nowNs())).isPresent()) {
      select(backend.get());
    } else {
      onProbeFinished();
    }
  }

  /** Adds a backend server to the ranked ones; returns empty if it cannot be used. */
  private Optional<RankedBackend> rankWithoutProbe(
      BackendEntry entry, boolean isLocal, OptionalLong permitUntilNs) {
    if (finished || !eligibility.canUse(entry, permitUntilNs)) {
      return Optional.empty();
    }
    long nowNs = context.nowNs();
    LatencyEstimate estimate =
        LatencyEstimate.withoutProbe(entry.stats(), serviceFailureShare(nowNs), nowNs);
    RankedBackend backend =
        new RankedBackend(
            entry, isLocal, Optional.empty(), permitUntilNs, Optional.empty(), estimate);
    rankedBackends.add(backend);
    return Optional.of(backend);
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
          case WAIT -> this::defer;
          case REFUSE_NO_ROOM -> () -> refuse(NotRunReason.NO_FREE_SLOT);
          case REFUSE_UNREACHABLE -> () -> refuse(eligibility.unreachableReason());
        };
    step.run();
  }

  private Optional<RankedBackend> best(long nowNs) {
    RankedBackend best = null;
    for (RankedBackend backend : rankedBackends) {
      if (backend.isConnectionLost()
          || !eligibility.canUse(backend.entry(), backend.permitUntilNs())) {
        continue;
      }
      if (best == null || rule.isBetter(backend.option(), best.option(), nowNs)) {
        best = backend;
      }
    }
    return Optional.ofNullable(best);
  }

  private void select(RankedBackend backend) {
    finish();
    releaseConnectionsExcept(backend);
    Optional<ServerConnection> usable = backend.connection().filter(ServerConnection::isReusable);
    if (usable.isEmpty()) {
      backend.connection().ifPresent(ServerConnection::close);
    }
    long nowNs = context.nowNs();
    if (eligibility.needsColdAllowance(backend.entry())) {
      context.fleet().coldAllowance().recordSend(backend.entry().stats().instance().name(), nowNs);
    }
    if (backend.connection().isEmpty()) {
      backend.entry().stats().recordUnprobedRequest();
    }
    listener.onSelected(
        new Selected(
            backend.entry(),
            usable,
            backend.permitUntilNs(),
            backend.estimate().total(),
            backend.load()));
  }

  private void refuse(NotRunReason reason) {
    finish();
    releaseConnectionsExcept(null);
    listener.onNoneSelected(reason, roomInNs(), detail());
  }

  private void defer() {
    finish();
    releaseConnectionsExcept(null);
    listener.onDeferred(roomInNs(), detail());
  }

  private OptionalLong roomInNs() {
    LongStream queueTimesNs =
        rankedBackends.stream()
            .filter(backend -> eligibility.canUse(backend.entry(), backend.permitUntilNs()))
            .mapToLong(backend -> (long) (backend.estimate().queueTime() * rule.serviceTimeNs()));
    return LongStream.concat(queueTimesNs, eligibility.availableInNs().stream()).min();
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
        backend
            .connection()
            .ifPresent(connection -> context.table().release(backend.entry(), connection));
      }
    }
  }

  private String detail() {
    int known = context.table().eligible(criteria.service()).size();
    return RankedBackend.describe(known, candidates.probeCount(), rankedBackends);
  }
}
