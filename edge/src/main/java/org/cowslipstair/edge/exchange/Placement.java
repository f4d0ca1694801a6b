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
import org.cowslipstair.logic.placement.BackendRecord;
import org.cowslipstair.logic.placement.Estimate;
import org.cowslipstair.model.call.NotRunReason;
import org.cowslipstair.model.config.BackendName;
import org.cowslipstair.model.config.ServiceName;
import org.cowslipstair.model.traffic.LoadReport;
import org.cowslipstair.model.traffic.ServiceTraits;
import org.jspecify.annotations.Nullable;

/**
 * Finds a backend server for one send. Asks a few candidates for their load, in rounds that grow,
 * and takes the first that is free and at its usual pace, or else the best one seen.
 */
final class Placement {
  /** Candidates asked in each round; the last is repeated. */
  private static final int[] ROUND_SIZES = {1, 2, 4};

  /** Most candidates asked for one send, and the same while probes are scarce. */
  private static final int MAX_PROBES = 10;

  private static final int MAX_SCARCE_PROBES = 3;

  /** Time after which a round counts as over, although answers are missing. */
  private static final long ROUND_MS = 15;

  /** An estimate up to this is taken at once. */
  private static final double GOOD_TOTAL = 1.6;

  /** An estimate up to this is good enough for a hedge. */
  private static final double HEDGE_TOTAL = 1.6;

  private final ExchangeContext context;
  private final Request request;
  private final Listener listener;
  private final List<BackendEntry> candidates;
  private final List<Option> options = new ArrayList<>();
  private final String healthPath;
  private final double bearsColdPerSecond;
  private final int maxProbes;
  private @Nullable ScheduledFuture<?> roundEnd;
  private int next;
  private int asked;
  private int pending;
  private int round;
  private boolean done;

  /**
   * What is asked for.
   *
   * @param excluded backend servers that must not be chosen
   * @param workNs usual time of the work
   * @param targetNs monotonic time until which an answer is of full use
   * @param giveUpNs monotonic time after which no more candidates are asked
   * @param endNs monotonic time at which the caller is answered anyway
   * @param isHedge whether only a good choice is wanted
   */
  record Request(
      ServiceName service,
      Set<BackendName> excluded,
      double workNs,
      long targetNs,
      long giveUpNs,
      long endNs,
      boolean isHedge) {}

  /** A choice. */
  record Chosen(
      BackendEntry entry,
      Optional<ServerConnection> connection,
      double total,
      Optional<LoadReport> load) {}

  /** Receives the choice; exactly one method is called, once, unless the placement is cancelled. */
  interface Listener {
    /** A backend server was found; the listener owns the connection. */
    void placed(Chosen chosen);

    /**
     * There is none.
     *
     * @param detail what was seen, for logs
     */
    void notPlaced(NotRunReason reason, String detail);
  }

  private record Option(
      BackendEntry entry,
      Optional<ServerConnection> connection,
      Optional<LoadReport> load,
      Estimate estimate) {}

  Placement(ExchangeContext context, Request request, Listener listener) {
    this.context = context;
    this.request = request;
    this.listener = listener;
    Optional<ServiceTraits> traits =
        context.table().state().plan().flatMap(plan -> plan.service(request.service()));
    this.healthPath = traits.map(ServiceTraits::healthPath).orElse("/");
    this.bearsColdPerSecond =
        traits.map(ServiceTraits::coldRequestsPerSecond).orElse(0.0)
                * context.settings().coldFactor()
            + context.settings().coldSlack();
    this.maxProbes = context.prober().isScarce() ? MAX_SCARCE_PROBES : MAX_PROBES;
    this.candidates = candidates();
  }

  private List<BackendEntry> candidates() {
    Map<BackendRecord, BackendEntry> eligible = new LinkedHashMap<>();
    context
        .table()
        .eligible(request.service())
        .forEach(entry -> eligible.put(entry.record(), entry));
    List<BackendEntry> ordered = new ArrayList<>();
    context
        .fleet()
        .order()
        .order(
            List.copyOf(eligible.keySet()),
            request.excluded(),
            record -> entryOf(eligible, record).hasIdle(),
            context.nowNs())
        .forEach(record -> ordered.add(entryOf(eligible, record)));
    ordered.removeIf(entry -> !mayAsk(entry));
    return ordered;
  }

  private static BackendEntry entryOf(
      Map<BackendRecord, BackendEntry> entries, BackendRecord record) {
    BackendEntry entry = entries.get(record);
    if (entry == null) {
      throw new IllegalStateException("record without an entry");
    }
    return entry;
  }

  /** Starts asking. */
  void start() {
    if (candidates.isEmpty()) {
      done = true;
      boolean none = context.table().eligible(request.service()).isEmpty();
      listener.notPlaced(
          none ? NotRunReason.NO_BACKEND : NotRunReason.BACKEND_UNREACHABLE, detail());
      return;
    }
    nextRound();
  }

  /** Stops asking; the listener hears nothing more. */
  void cancel() {
    if (!done) {
      finish();
      releaseExcept(null);
    }
  }

  private void nextRound() {
    int size = ROUND_SIZES[Math.min(round, ROUND_SIZES.length - 1)];
    round++;
    int started = 0;
    while (started < size && next < candidates.size() && asked < maxProbes && !done) {
      ask(candidates.get(next++));
      started++;
    }
    if (done) {
      return;
    }
    if (pending == 0) {
      roundOver();
      return;
    }
    cancelTimer();
    roundEnd = context.loop().schedule(this::roundOver, ROUND_MS, TimeUnit.MILLISECONDS);
  }

  private void ask(BackendEntry entry) {
    asked++;
    pending++;
    context
        .prober()
        .probe(
            entry,
            healthPath,
            new Prober.Listener() {
              @Override
              public void answered(ServerConnection connection, Optional<LoadReport> report) {
                pending--;
                Placement.this.answered(entry, connection, report);
              }

              @Override
              public void failed(Prober.ProbeFailure failure) {
                pending--;
                Placement.this.failed(entry, failure);
              }
            });
  }

  private void answered(
      BackendEntry entry, ServerConnection connection, Optional<LoadReport> report) {
    if (done || !mayUse(entry)) {
      context.table().giveBack(entry, connection);
      afterAnswer();
      return;
    }
    long nowNs = context.nowNs();
    Estimate estimate =
        report
            .map(load -> Estimate.of(load, entry.record(), nowNs))
            .orElseGet(() -> Estimate.unasked(entry.record(), nowNs));
    Option option = new Option(entry, Optional.of(connection), report, estimate);
    options.add(option);
    if (estimate.free() && estimate.rank() <= GOOD_TOTAL) {
      choose(option);
      return;
    }
    afterAnswer();
  }

  private void failed(BackendEntry entry, Prober.ProbeFailure failure) {
    if (!done && failure == Prober.ProbeFailure.OVER_BUDGET && mayUse(entry)) {
      Estimate estimate = Estimate.unasked(entry.record(), context.nowNs());
      options.add(new Option(entry, Optional.empty(), Optional.empty(), estimate));
    }
    afterAnswer();
  }

  private void afterAnswer() {
    if (!done && pending == 0) {
      roundOver();
    }
  }

  private void roundOver() {
    if (done) {
      return;
    }
    long nowNs = context.nowNs();
    Option best = best();
    boolean moreToAsk = next < candidates.size() && asked < maxProbes;
    if (best != null && nowNs + best.estimate.total() * request.workNs() <= request.targetNs()) {
      boolean goodEnough = !request.isHedge() || best.estimate.rank() <= HEDGE_TOTAL;
      if (goodEnough && (best.estimate.free() || !moreToAsk)) {
        choose(best);
        return;
      }
    }
    if (moreToAsk && nowNs < request.giveUpNs()) {
      nextRound();
      return;
    }
    if (pending > 0 && nowNs < request.giveUpNs() && best == null) {
      cancelTimer();
      roundEnd = context.loop().schedule(this::roundOver, ROUND_MS, TimeUnit.MILLISECONDS);
      return;
    }
    last(best, nowNs);
  }

  private void last(@Nullable Option best, long nowNs) {
    if (best == null) {
      refuse(NotRunReason.BACKEND_UNREACHABLE);
    } else if (request.isHedge() && best.estimate.rank() > HEDGE_TOTAL) {
      refuse(NotRunReason.NO_FREE_SLOT);
    } else if (best.estimate.free() || best.estimate.room() && isInTime(best, nowNs)) {
      choose(best);
    } else {
      refuse(NotRunReason.NO_FREE_SLOT);
    }
  }

  private boolean isInTime(Option option, long nowNs) {
    return nowNs + option.estimate.total() * request.workNs() < request.endNs();
  }

  private @Nullable Option best() {
    Option best = null;
    for (Option option : options) {
      boolean lost = option.connection.isPresent() && !option.connection.get().isIdle();
      if (lost || !mayUse(option.entry)) {
        continue;
      }
      if (best == null || option.estimate.rank() < best.estimate.rank()) {
        best = option;
      }
    }
    return best;
  }

  private boolean mayAsk(BackendEntry entry) {
    boolean isWarm = !entry.record().isCold(context.nowNs());
    return context.table().takesRequests(entry) && (isWarm || mayUseCold(entry));
  }

  private boolean mayUse(BackendEntry entry) {
    boolean isWarm = !entry.record().mayBeCold(context.nowNs());
    return context.table().takesRequests(entry) && (isWarm || mayUseCold(entry));
  }

  private boolean mayUseCold(BackendEntry entry) {
    return context
        .fleet()
        .coldAllowance()
        .maySend(
            entry.record().instance().name(),
            bearsColdPerSecond,
            context.fleet().gateways().get(),
            context.nowNs());
  }

  private void choose(Option option) {
    finish();
    releaseExcept(option);
    Optional<ServerConnection> usable = option.connection.filter(ServerConnection::isReusable);
    if (usable.isEmpty()) {
      option.connection.ifPresent(ServerConnection::close);
    }
    long nowNs = context.nowNs();
    if (option.entry.record().mayBeCold(nowNs)) {
      context.fleet().coldAllowance().sent(option.entry.record().instance().name(), nowNs);
    }
    listener.placed(new Chosen(option.entry, usable, option.estimate.total(), option.load));
  }

  private void refuse(NotRunReason reason) {
    finish();
    releaseExcept(null);
    listener.notPlaced(reason, detail());
  }

  private void finish() {
    done = true;
    cancelTimer();
  }

  private void cancelTimer() {
    if (roundEnd != null) {
      roundEnd.cancel(false);
    }
  }

  private void releaseExcept(@Nullable Option kept) {
    for (Option option : options) {
      if (option != kept) {
        option.connection.ifPresent(
            connection -> context.table().giveBack(option.entry, connection));
      }
    }
  }

  /** Describes what was seen of the candidates. */
  private String detail() {
    StringBuilder text = new StringBuilder();
    text.append("known=").append(context.table().eligible(request.service()).size());
    text.append(" candidates=").append(candidates.size());
    text.append(" asked=").append(asked);
    text.append(" answered=").append(options.size());
    for (Option option : options) {
      String load =
          option.load.map(l -> l.running() + "+" + l.waiting() + "/" + l.slots()).orElse("?");
      text.append(' ').append(option.entry.record().instance().name()).append('=').append(load);
    }
    return text.toString();
  }
}
