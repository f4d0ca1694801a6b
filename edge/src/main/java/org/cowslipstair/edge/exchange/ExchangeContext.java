package org.cowslipstair.edge.exchange;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.cowslipstair.edge.FrontSettings;
import org.cowslipstair.edge.ProtocolHeaders;
import org.cowslipstair.edge.backend.BackendTable;
import org.cowslipstair.edge.backend.Prober;
import org.cowslipstair.logic.budget.ColdAllowance;
import org.cowslipstair.logic.budget.RetryBudget;
import org.cowslipstair.logic.budget.SplitSequence;
import org.cowslipstair.logic.invariant.Invariant;
import org.cowslipstair.logic.invariant.InvariantMonitor;
import org.cowslipstair.logic.invariant.Violation;
import org.cowslipstair.logic.placement.CandidateOrder;
import org.cowslipstair.logic.placement.WorkTimes;
import org.cowslipstair.model.config.ServiceName;
import org.cowslipstair.model.traffic.Route;
import org.cowslipstair.port.MonotonicClock;

/** What the exchanges of one gateway share. Lives on the event loop. */
public final class ExchangeContext {
  private static final long NS_PER_MS = 1_000_000L;

  private final Parts parts;
  private final Map<ServiceName, RetryBudget> retryBudgets = new HashMap<>();
  private final Map<String, SplitSequence> splits = new HashMap<>();
  private final WorkTimes workTimes = new WorkTimes();

  /** Creates a context. */
  public ExchangeContext(Parts parts) {
    this.parts = parts;
  }

  /**
   * The parts of a context.
   *
   * @param settings settings in force; they may change while the process runs
   */
  public record Parts(
      EventLoop loop,
      MonotonicClock clock,
      RandomGenerator random,
      Supplier<FrontSettings> settings,
      ProtocolHeaders headers,
      BackendTable table,
      Prober prober,
      Fleet fleet,
      ExchangeObserver observer) {}

  /**
   * What concerns the fleet.
   *
   * @param gateways names of all known gateways; empty if they are not known
   */
  public record Fleet(
      Supplier<List<String>> gateways,
      ColdAllowance coldAllowance,
      CandidateOrder order,
      InvariantMonitor monitor) {}

  EventLoop loop() {
    return parts.loop();
  }

  long nowNs() {
    return parts.clock().nowNs();
  }

  RandomGenerator random() {
    return parts.random();
  }

  FrontSettings settings() {
    return parts.settings().get();
  }

  ProtocolHeaders headers() {
    return parts.headers();
  }

  BackendTable table() {
    return parts.table();
  }

  Prober prober() {
    return parts.prober();
  }

  Fleet fleet() {
    return parts.fleet();
  }

  ExchangeObserver observer() {
    return parts.observer();
  }

  WorkTimes workTimes() {
    return workTimes;
  }

  RetryBudget retryBudget(ServiceName service) {
    RetryBudget budget = retryBudgets.computeIfAbsent(service, this::newBudget);
    int gateways = parts.fleet().gateways().get().size();
    budget.share(gateways == 0 ? 0 : settings().retrySlack(), gateways);
    return budget;
  }

  private RetryBudget newBudget(ServiceName service) {
    RetryBudget budget =
        new RetryBudget(service.value(), settings().retryRatio(), parts.fleet().monitor());
    observer().budget(service, budget);
    return budget;
  }

  ServiceName nextService(Route route) {
    return splits
        .computeIfAbsent(route.name(), _ -> new SplitSequence(parts.random()))
        .next(route.services());
  }

  void violated(Invariant invariant, RequestMessage message, long observed) {
    String subject = message.requestId().orElse("");
    parts.fleet().monitor().violated(new Violation(invariant, subject, observed, 0));
  }

  void reportSent(RequestMessage message, Placement.Chosen chosen, String cause, long endNs) {
    String load =
        chosen
            .load()
            .map(
                report ->
                    "%d+%d/%d at %.2f"
                        .formatted(
                            report.running(), report.waiting(), report.slots(), report.pace()))
            .orElse("");
    long nowNs = nowNs();
    observer()
        .sent(
            new ExchangeObserver.Sent(
                message.requestId(),
                chosen.entry().record().instance().name(),
                cause,
                chosen.total(),
                load,
                (endNs - nowNs) / NS_PER_MS,
                nowNs - message.arrivedNs()));
  }
}
