package org.cowslipstair.edge.exchange;

import io.netty.util.concurrent.ScheduledFuture;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.cowslipstair.edge.backend.BackendEntry;
import org.cowslipstair.edge.backend.Prober;
import org.cowslipstair.edge.http.ServerConnection;
import org.cowslipstair.logic.placement.BackendStats;
import org.cowslipstair.logic.placement.LatencyEstimate;
import org.cowslipstair.model.call.NotRunReason;
import org.cowslipstair.model.config.BackendName;
import org.cowslipstair.model.config.ServiceName;
import org.cowslipstair.model.traffic.LoadReport;
import org.cowslipstair.model.traffic.ServiceConfig;
import org.jspecify.annotations.Nullable;

/**
 * Selects a backend server for one send. Probes candidates for their load, in rounds of increasing
 * size, and selects the first one that has a free slot and runs at its usual pace, or else the best
 * one found.
 */
final class BackendSelection {
  /** Number of candidates probed in each round; the last size is repeated. */
  private static final int[] ROUND_SIZES = {1, 2, 4};

  /** Maximum number of probes for one send, normally and while the probe budget is scarce. */
  private static final int MAX_PROBES = 10;

  private static final int MAX_PROBES_WHEN_SCARCE = 3;

  /** Time after which a round ends although responses are missing. */
  private static final long ROUND_TIMEOUT_MS = 15;

  /** A candidate with a free slot and a score up to this is selected at once. */
  private static final double GOOD_SCORE = 1.6;

  /** A candidate with a score up to this is good enough for a hedge. */
  private static final double MAX_HEDGE_SCORE = 1.6;

  private final ExchangeContext context;
  private final Criteria criteria;
  private final Listener listener;
  private final List<BackendEntry> candidates;
  private final List<RankedBackend> rankedBackends = new ArrayList<>();
  private final String healthPath;
  private final double maxColdRequestsPerSecond;
  private final int maxProbes;
  private @Nullable ScheduledFuture<?> roundTimer;
  private int nextCandidate;
  private int probeCount;
  private int pendingProbes;
  private int roundIndex;
  private boolean finished;

  /**
   * Requirements of the selection.
   *
   * @param excluded backend servers that must not be selected
   * @param serviceTimeNs usual service time of the route
   * @param targetDeadlineNs monotonic time at which the target latency is reached
   * @param selectionEndNs monotonic time after which no more candidates are probed
   * @param deadlineNs monotonic time at which the caller gets a response in any case
   * @param isHedge whether to select only a backend server that is good enough for a hedge
   */
  record Criteria(
      ServiceName service,
      Set<BackendName> excluded,
      double serviceTimeNs,
      long targetDeadlineNs,
      long selectionEndNs,
      long deadlineNs,
      boolean isHedge) {}

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
     * @param detail load of the candidates, for logs
     */
    void onNoneSelected(NotRunReason reason, String detail);
  }

  private record RankedBackend(
      BackendEntry entry,
      Optional<ServerConnection> connection,
      Optional<LoadReport> load,
      LatencyEstimate estimate) {}

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
    this.maxProbes = context.prober().isScarce() ? MAX_PROBES_WHEN_SCARCE : MAX_PROBES;
    this.candidates = candidates();
  }

  private List<BackendEntry> candidates() {
    Map<BackendStats, BackendEntry> eligible = new LinkedHashMap<>();
    context
        .table()
        .eligible(criteria.service())
        .forEach(entry -> eligible.put(entry.stats(), entry));
    List<BackendEntry> ordered = new ArrayList<>();
    context
        .fleet()
        .order()
        .order(
            List.copyOf(eligible.keySet()),
            criteria.excluded(),
            stats -> entryOf(eligible, stats).hasIdleConnection(),
            context.nowNs())
        .forEach(stats -> ordered.add(entryOf(eligible, stats)));
    ordered.removeIf(entry -> !canProbe(entry));
    return ordered;
  }

  private static BackendEntry entryOf(Map<BackendStats, BackendEntry> entries, BackendStats stats) {
    BackendEntry entry = entries.get(stats);
    if (entry == null) {
      throw new IllegalStateException("statistics without a backend entry");
    }
    return entry;
  }

  /** Starts the first round of probes. */
  void start() {
    if (candidates.isEmpty()) {
      finished = true;
      boolean hasNoBackend = context.table().eligible(criteria.service()).isEmpty();
      listener.onNoneSelected(
          hasNoBackend ? NotRunReason.NO_BACKEND : NotRunReason.BACKEND_UNREACHABLE, detail());
      return;
    }
    startRound();
  }

  /** Stops the selection; the listener is not called any more. */
  void cancel() {
    if (!finished) {
      finish();
      releaseConnectionsExcept(null);
    }
  }

  private void startRound() {
    int size = ROUND_SIZES[Math.min(roundIndex, ROUND_SIZES.length - 1)];
    roundIndex++;
    int startedProbes = 0;
    while (startedProbes < size
        && nextCandidate < candidates.size()
        && probeCount < maxProbes
        && !finished) {
      probe(candidates.get(nextCandidate++));
      startedProbes++;
    }
    if (finished) {
      return;
    }
    if (pendingProbes == 0) {
      onRoundEnd();
      return;
    }
    cancelTimer();
    roundTimer = context.loop().schedule(this::onRoundEnd, ROUND_TIMEOUT_MS, TimeUnit.MILLISECONDS);
  }

  private void probe(BackendEntry entry) {
    probeCount++;
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
                BackendSelection.this.onProbeResponse(entry, connection, report);
              }

              @Override
              public void onFailure(Prober.ProbeFailure failure) {
                pendingProbes--;
                BackendSelection.this.onProbeFailure(entry, failure);
              }
            });
  }

  private void onProbeResponse(
      BackendEntry entry, ServerConnection connection, Optional<LoadReport> report) {
    if (finished || !canUse(entry)) {
      context.table().release(entry, connection);
      onProbeFinished();
      return;
    }
    long nowNs = context.nowNs();
    LatencyEstimate estimate =
        report
            .map(load -> LatencyEstimate.fromReport(load, entry.stats(), nowNs))
            .orElseGet(() -> LatencyEstimate.withoutProbe(entry.stats(), nowNs));
    RankedBackend backend = new RankedBackend(entry, Optional.of(connection), report, estimate);
    rankedBackends.add(backend);
    if (estimate.hasFreeSlot() && estimate.score() <= GOOD_SCORE) {
      select(backend);
      return;
    }
    onProbeFinished();
  }

  private void onProbeFailure(BackendEntry entry, Prober.ProbeFailure failure) {
    if (!finished && failure == Prober.ProbeFailure.OVER_BUDGET && canUse(entry)) {
      LatencyEstimate estimate = LatencyEstimate.withoutProbe(entry.stats(), context.nowNs());
      rankedBackends.add(new RankedBackend(entry, Optional.empty(), Optional.empty(), estimate));
    }
    onProbeFinished();
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
    RankedBackend best = best();
    boolean hasMoreToProbe = nextCandidate < candidates.size() && probeCount < maxProbes;
    if (best != null
        && nowNs + best.estimate.total() * criteria.serviceTimeNs()
            <= criteria.targetDeadlineNs()) {
      boolean isGoodEnough = !criteria.isHedge() || best.estimate.score() <= MAX_HEDGE_SCORE;
      if (isGoodEnough && (best.estimate.hasFreeSlot() || !hasMoreToProbe)) {
        select(best);
        return;
      }
    }
    if (hasMoreToProbe && nowNs < criteria.selectionEndNs()) {
      startRound();
      return;
    }
    if (pendingProbes > 0 && nowNs < criteria.selectionEndNs() && best == null) {
      cancelTimer();
      roundTimer =
          context.loop().schedule(this::onRoundEnd, ROUND_TIMEOUT_MS, TimeUnit.MILLISECONDS);
      return;
    }
    selectOrRefuse(best, nowNs);
  }

  private void selectOrRefuse(@Nullable RankedBackend best, long nowNs) {
    if (best == null) {
      refuse(NotRunReason.BACKEND_UNREACHABLE);
    } else if (criteria.isHedge() && best.estimate.score() > MAX_HEDGE_SCORE) {
      refuse(NotRunReason.NO_FREE_SLOT);
    } else if (best.estimate.hasFreeSlot() || best.estimate.canQueue() && isInTime(best, nowNs)) {
      select(best);
    } else {
      refuse(NotRunReason.NO_FREE_SLOT);
    }
  }

  private boolean isInTime(RankedBackend backend, long nowNs) {
    return nowNs + backend.estimate.total() * criteria.serviceTimeNs() < criteria.deadlineNs();
  }

  private @Nullable RankedBackend best() {
    RankedBackend best = null;
    for (RankedBackend backend : rankedBackends) {
      boolean isConnectionLost =
          backend.connection.isPresent() && !backend.connection.get().isIdle();
      if (isConnectionLost || !canUse(backend.entry)) {
        continue;
      }
      if (best == null || backend.estimate.score() < best.estimate.score()) {
        best = backend;
      }
    }
    return best;
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
    listener.onNoneSelected(reason, detail());
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
    text.append(" candidates=").append(candidates.size());
    text.append(" asked=").append(probeCount);
    text.append(" answered=").append(rankedBackends.size());
    for (RankedBackend backend : rankedBackends) {
      String load =
          backend.load.map(l -> l.running() + "+" + l.waiting() + "/" + l.slots()).orElse("?");
      text.append(' ').append(backend.entry.stats().instance().name()).append('=').append(load);
    }
    return text.toString();
  }
}
