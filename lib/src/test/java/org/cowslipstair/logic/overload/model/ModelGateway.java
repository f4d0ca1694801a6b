package org.cowslipstair.logic.overload.model;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import org.cowslipstair.logic.budget.RetryBudget;
import org.cowslipstair.logic.invariant.InvariantMonitor;
import org.cowslipstair.logic.overload.ReturnDelay;
import org.cowslipstair.logic.overload.Urgency;
import org.cowslipstair.logic.overload.WaitingTime;
import org.cowslipstair.logic.placement.BackendStats;
import org.cowslipstair.logic.placement.CandidateOrder;
import org.cowslipstair.logic.placement.FailureAverage;
import org.cowslipstair.logic.placement.LatencyEstimate;
import org.cowslipstair.logic.placement.PlacementRule;
import org.cowslipstair.logic.placement.ServiceTimes;
import org.cowslipstair.model.config.BackendName;
import org.cowslipstair.model.config.HostPort;
import org.cowslipstair.model.config.ServiceName;
import org.cowslipstair.model.config.ZoneName;
import org.cowslipstair.model.traffic.BackendInstance;
import org.cowslipstair.model.traffic.LoadReport;

/** A gateway that makes the decisions of the product; probes and sends take a fixed time. */
final class ModelGateway {
  private static final long NS_PER_MS = 1_000_000L;
  private static final long ROUND_MS = 2;
  private static final long ROUND_TIMEOUT_MS = 15;
  private static final long PROBE_TIMEOUT_MS = 1_000;
  private static final int[] ROUND_SIZES = {1, 2, 4};
  private static final int MAX_PROBES = 10;
  private static final int MAX_LOCAL_PROBES = 7;
  private static final int MAX_ATTEMPTS = 3;
  private static final double HEDGE_AT = 0.45;

  private final Simulation simulation;
  private final Policy policy;
  private final Result result;
  private final List<ModelServer> servers;
  private final List<Known> known = new ArrayList<>();
  private final int zone;
  private final CandidateOrder order;
  private final RetryBudget budget;
  private final FailureAverage failures;
  private final ReturnDelay returnDelay;
  private final ServiceTimes serviceTimes = new ServiceTimes();
  private final Random random;

  ModelGateway(
      int index,
      int zone,
      Fleet fleet,
      List<ModelServer> servers,
      Simulation simulation,
      Policy policy,
      Result result) {
    this.simulation = simulation;
    this.policy = policy;
    this.result = result;
    this.servers = servers;
    this.zone = zone;
    this.random = new Random(1_000 + index);
    this.order = new CandidateOrder("g-" + index, new ZoneName("z" + zone), random);
    this.budget = new RetryBudget("s", 0.2, new Random(2_000 + index), InvariantMonitor.failing());
    this.budget.setShare(fleet.retrySlack(), fleet.gateways());
    this.failures = new FailureAverage(0.1, 0);
    this.returnDelay = new ReturnDelay(random);
    for (int i = 0; i < servers.size(); i++) {
      BackendInstance instance =
          new BackendInstance(
              new BackendName("b-" + i),
              new ServiceName("s"),
              new HostPort("10.0.0.1", 1 + i),
              new ZoneName("z" + servers.get(i).zone),
              fleet.slots(),
              false,
              0,
              1,
              1);
      known.add(new Known(i, new BackendStats(instance, 0)));
    }
  }

  private record Known(int server, BackendStats stats) implements CandidateOrder.Candidate {
    @Override
    public boolean hasIdleConnection() {
      return true;
    }
  }

  /** Receives the end of a request. */
  interface Listener {
    void onServed();

    void onRefused(long returnDelayMs);

    void onFailed();
  }

  void handle(Demand demand, long callerRemainingMs, Listener listener) {
    budget.recordRequest();
    new Exchange(demand, callerRemainingMs, listener).select(false);
  }

  private final class Exchange {
    private final long arrivedMs = simulation.nowMs();
    private final Demand demand;
    private final long callerRemainingMs;
    private final Listener listener;
    private final Set<BackendName> tried = new HashSet<>();
    private int attempts;
    private int active;
    private boolean finished;
    private boolean hasWaited;

    Exchange(Demand demand, long callerRemainingMs, Listener listener) {
      this.demand = demand;
      this.callerRemainingMs = callerRemainingMs;
      this.listener = listener;
      simulation.schedule(Math.min(demand.timeoutMs(), callerRemainingMs), this::onTimeout);
    }

    void select(boolean isHedge) {
      double serviceTimeNs = serviceTimes.averageNs(demand.route(), demand.targetMs());
      long nowNs = simulation.nowNs();
      long arrivedNs = arrivedMs * NS_PER_MS;
      long targetNs = demand.targetMs() * NS_PER_MS;
      PlacementRule rule =
          new PlacementRule(
              serviceTimeNs,
              arrivedNs + targetNs,
              Math.max(hasWaited ? nowNs + targetNs / 8 : nowNs, arrivedNs + targetNs / 8),
              arrivedNs + demand.timeoutMs() * NS_PER_MS,
              isHedge,
              waiting());
      new Selection(this, rule).round(false);
    }

    private PlacementRule.Waiting waiting() {
      if (!policy.waitsForRoom()) {
        return PlacementRule.Waiting.NONE;
      }
      double serviceTimeNs = serviceTimes.averageNs(demand.route(), demand.targetMs());
      return PlacementRule.Waiting.of(
          PlacementRule.isPatient(serviceTimeNs, demand.targetMs() * NS_PER_MS),
          demand.priority() > 1);
    }

    void onDeferred(PlacementRule rule, OptionalLong roomInNs) {
      hasWaited = true;
      result.waits++;
      Urgency urgency = new Urgency(demand.priority(), rule.latestStartNs(), rule.serviceTimeNs());
      long delayNs = WaitingTime.untilNextNs(urgency, roomInNs, simulation.nowNs());
      simulation.schedule(
          delayNs / NS_PER_MS,
          () -> {
            if (!finished) {
              select(false);
            }
          });
    }

    void onSelected(int server, boolean isHedge, OptionalLong roomInNs) {
      if (finished || isHedge && !budget.tryAcquireHedge()) {
        return;
      }
      attempts++;
      active++;
      result.sends++;
      result.hedges += isHedge ? 1 : 0;
      result.otherZone += servers.get(server).zone == zone ? 0 : 1;
      tried.add(known.get(server).stats().instance().name());
      long sentMs = simulation.nowMs();
      servers.get(server).accept(demand.workMs(), ran -> onDone(server, ran, sentMs, roomInNs));
      if (attempts == 1) {
        simulation.schedule((long) (demand.targetMs() * HEDGE_AT), this::onHedgeDue);
      }
    }

    private void onHedgeDue() {
      if (!finished && active == 1 && attempts < MAX_ATTEMPTS && budget.canAcquireHedge()) {
        select(true);
      }
    }

    private void onDone(int server, boolean ran, long sentMs, OptionalLong roomInNs) {
      long nowNs = simulation.nowNs();
      active--;
      known.get(server).stats().recordOutcome(ran, nowNs);
      failures.record(ran, nowNs);
      if (finished) {
        return;
      }
      if (ran) {
        finished = true;
        serviceTimes.record(
            demand.route(), demand.targetMs(), (simulation.nowMs() - sentMs) * NS_PER_MS);
        listener.onServed();
      } else if (active == 0 && attempts < MAX_ATTEMPTS && budget.tryAcquireRetry()) {
        result.retries++;
        select(false);
      } else if (active == 0) {
        onNoneSelected(false, roomInNs);
      }
    }

    void onNoneSelected(boolean isHedge, OptionalLong roomInNs) {
      if (finished || isHedge) {
        return;
      }
      finished = true;
      result.refusals++;
      OptionalLong known = policy.returnsWhenThereIsRoom() ? roomInNs : OptionalLong.empty();
      long remainingNs = (callerRemainingMs - (simulation.nowMs() - arrivedMs)) * NS_PER_MS;
      listener.onRefused(returnDelay.delayNs(known, remainingNs) / NS_PER_MS);
    }

    private void onTimeout() {
      if (!finished) {
        finished = true;
        listener.onFailed();
      }
    }
  }

  /** Rounds of probes as in the product's selection. */
  private final class Selection {
    private final Exchange exchange;
    private final PlacementRule rule;
    private final Deque<Integer> local = new ArrayDeque<>();
    private final Deque<Integer> others = new ArrayDeque<>();
    private final List<Candidate> found = new ArrayList<>();
    private int probes;
    private int rounds;

    private record Candidate(int server, LoadReport load, PlacementRule.Option option) {}

    Selection(Exchange exchange, PlacementRule rule) {
      this.exchange = exchange;
      this.rule = rule;
      long nowNs = simulation.nowNs();
      order.local(known, exchange.tried, nowNs).forEach(entry -> local.add(entry.server));
      order.others(known, exchange.tried, nowNs).forEach(entry -> others.add(entry.server));
    }

    void round(boolean inOtherZones) {
      int size = ROUND_SIZES[Math.min(rounds++, ROUND_SIZES.length - 1)];
      boolean hasDark = false;
      for (int i = 0; i < size && (inOtherZones ? hasOthers() : hasLocal()); i++) {
        int server = (inOtherZones ? others : local).remove();
        probes++;
        result.probes++;
        if (servers.get(server).isDark()) {
          hasDark = true;
          probeDark(server);
          continue;
        }
        LoadReport load = servers.get(server).report();
        double share = policy.sharesFailures() ? failures.share(simulation.nowNs()) : 0;
        LatencyEstimate estimate =
            LatencyEstimate.fromReport(load, known.get(server).stats(), share, simulation.nowNs());
        boolean isLocal = servers.get(server).zone == zone;
        found.add(new Candidate(server, load, new PlacementRule.Option(estimate, isLocal)));
        if (rule.isGood(estimate, simulation.nowNs())) {
          break;
        }
      }
      simulation.schedule(hasDark ? ROUND_TIMEOUT_MS : ROUND_MS, this::onRoundEnd);
    }

    private void probeDark(int server) {
      result.probesThatGotNoResponse++;
      if (!policy.skipsUnresponsive()) {
        simulation.schedule(
            PROBE_TIMEOUT_MS,
            () -> known.get(server).stats().recordUnreachable(simulation.nowNs()));
        return;
      }
      known.get(server).stats().recordProbeStart(simulation.nowNs());
      simulation.schedule(
          PROBE_TIMEOUT_MS,
          () -> {
            known.get(server).stats().recordProbeEnd();
            known.get(server).stats().recordUnreachable(simulation.nowNs());
          });
    }

    private boolean hasLocal() {
      return !local.isEmpty() && probes < (others.isEmpty() ? MAX_PROBES : MAX_LOCAL_PROBES);
    }

    private boolean hasOthers() {
      return !others.isEmpty() && probes < MAX_PROBES;
    }

    private void onRoundEnd() {
      long nowNs = simulation.nowNs();
      Candidate best = null;
      for (Candidate candidate : found) {
        if (best == null || rule.isBetter(candidate.option, best.option, nowNs)) {
          best = candidate;
        }
      }
      PlacementRule.Remaining remaining =
          new PlacementRule.Remaining(hasLocal(), hasOthers(), false);
      Optional<PlacementRule.Option> option = Optional.ofNullable(best).map(Candidate::option);
      PlacementRule.Step step = rule.next(option, remaining, nowNs);
      if (step == PlacementRule.Step.PROBE_LOCAL) {
        round(false);
      } else if (step == PlacementRule.Step.PROBE_OTHER_ZONES) {
        round(true);
      } else if (step == PlacementRule.Step.SELECT && best != null) {
        boolean hasFreeSlot = best.load.total() < best.load.slots();
        exchange.onSelected(
            best.server, rule.isHedge(), hasFreeSlot ? OptionalLong.of(0) : OptionalLong.empty());
      } else {
        OptionalLong roomInNs =
            found.stream()
                .mapToLong(c -> (long) (c.option.estimate().queueTime() * rule.serviceTimeNs()))
                .min();
        if (step == PlacementRule.Step.WAIT) {
          exchange.onDeferred(rule, roomInNs);
        } else {
          exchange.onNoneSelected(rule.isHedge(), roomInNs);
        }
      }
    }
  }
}
