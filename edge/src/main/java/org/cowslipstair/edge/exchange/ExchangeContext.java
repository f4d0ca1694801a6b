package org.cowslipstair.edge.exchange;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.cowslipstair.edge.FrontSettings;
import org.cowslipstair.edge.ProtocolHeaders;
import org.cowslipstair.edge.backend.BackendEntry;
import org.cowslipstair.edge.backend.BackendTable;
import org.cowslipstair.edge.backend.CrashDetector;
import org.cowslipstair.edge.backend.Prober;
import org.cowslipstair.edge.backend.RateLimitHeader;
import org.cowslipstair.edge.permit.PermitService;
import org.cowslipstair.edge.quarantine.QuarantineService;
import org.cowslipstair.edge.rollout.VersionRouting;
import org.cowslipstair.logic.budget.ColdSendLimiter;
import org.cowslipstair.logic.budget.RetryBudget;
import org.cowslipstair.logic.budget.WeightedServiceSelector;
import org.cowslipstair.logic.invariant.Invariant;
import org.cowslipstair.logic.invariant.InvariantMonitor;
import org.cowslipstair.logic.invariant.Violation;
import org.cowslipstair.logic.overload.LoopDelay;
import org.cowslipstair.logic.overload.UrgentRoutes;
import org.cowslipstair.logic.placement.CandidateOrder;
import org.cowslipstair.logic.placement.FailureAverage;
import org.cowslipstair.logic.placement.ServiceTimes;
import org.cowslipstair.logic.stop.PlannedStop;
import org.cowslipstair.logic.tenant.KeyCheck;
import org.cowslipstair.model.call.NotRunReason;
import org.cowslipstair.model.config.ServiceName;
import org.cowslipstair.model.traffic.RequestFingerprint;
import org.cowslipstair.model.traffic.Route;
import org.cowslipstair.model.traffic.TrafficPlan;
import org.cowslipstair.port.MonotonicClock;

/** State and dependencies shared by the exchanges of one gateway. Used on the event loop only. */
public final class ExchangeContext {
  private static final long NS_PER_MS = 1_000_000L;

  /** Delay of the timers that measure how far the event loop is behind. */
  private static final long LOOP_DELAY_TIMER_MS = 10;

  /** Weight of the newest outcome in the failure average of a service. */
  private static final double SERVICE_OUTCOME_WEIGHT = 0.1;

  private final Dependencies dependencies;
  private final Map<ServiceName, RetryBudget> retryBudgets = new HashMap<>();
  private final Map<ServiceName, FailureAverage> serviceFailures = new HashMap<>();
  private final Map<String, WeightedServiceSelector> serviceSelectors = new HashMap<>();
  private final ServiceTimes serviceTimes = new ServiceTimes();
  private final LoopDelay loopDelay = new LoopDelay();
  private final WaitingRoom waitingRoom;
  private long urgentRoutesVersion;
  private Optional<UrgentRoutes> urgentRoutes = Optional.empty();
  private final RateLimitHeader rateLimitHeader;
  private final CrashDetector crashDetector;
  private Optional<PlannedStop> plannedStop = Optional.empty();
  private boolean isMeasuringLoopDelay;

  /** Creates a context. */
  public ExchangeContext(Dependencies dependencies) {
    this.dependencies = dependencies;
    this.waitingRoom =
        new WaitingRoom(
            dependencies.loop(),
            dependencies.clock(),
            dependencies.observer(),
            dependencies.fleet().monitor());
    this.rateLimitHeader = new RateLimitHeader(dependencies.headers().rateLimit());
    this.crashDetector =
        new CrashDetector(dependencies.table(), dependencies.prober(), dependencies.clock());
  }

  /**
   * Dependencies of the exchanges.
   *
   * @param settings settings in force; they may change while the process runs
   */
  public record Dependencies(
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
   * Dependencies that concern the fleet of gateways.
   *
   * @param gateways names of all known gateways; empty if none is known
   * @param admissionSteps steps that a request passes before a backend server is selected, in order
   */
  public record Fleet(
      Supplier<List<String>> gateways,
      ColdSendLimiter coldAllowance,
      PermitService permits,
      QuarantineService quarantine,
      VersionRouting versions,
      CandidateOrder order,
      List<AdmissionStep.Factory> admissionSteps,
      InvariantMonitor monitor) {}

  EventLoop loop() {
    return dependencies.loop();
  }

  long nowNs() {
    return dependencies.clock().nowNs();
  }

  RandomGenerator random() {
    return dependencies.random();
  }

  FrontSettings settings() {
    return dependencies.settings().get();
  }

  ProtocolHeaders headers() {
    return dependencies.headers();
  }

  RateLimitHeader rateLimitHeader() {
    return rateLimitHeader;
  }

  BackendTable table() {
    return dependencies.table();
  }

  /** Begins a planned stop; exchanges that start from now on take it into account. */
  public void beginStop(PlannedStop stop) {
    plannedStop = Optional.of(stop);
  }

  Optional<PlannedStop> plannedStop() {
    return plannedStop;
  }

  CrashDetector crashDetector() {
    return crashDetector;
  }

  Prober prober() {
    return dependencies.prober();
  }

  Fleet fleet() {
    return dependencies.fleet();
  }

  ExchangeObserver observer() {
    return dependencies.observer();
  }

  WaitingRoom waitingRoom() {
    return waitingRoom;
  }

  /** Returns the number of requests of each service that wait for room. */
  public Map<ServiceName, Integer> waitingRequests() {
    return waitingRoom.sizes();
  }

  /** Returns whether a service gets requests that are more urgent than one. */
  boolean hasMoreUrgent(ServiceName service, Route route, int priority) {
    Optional<TrafficPlan> plan = table().state().plan();
    if (plan.isPresent() && plan.get().version() != urgentRoutesVersion) {
      urgentRoutesVersion = plan.get().version();
      urgentRoutes = plan.map(UrgentRoutes::new);
    }
    return urgentRoutes.filter(r -> r.hasMoreUrgent(service, route, priority)).isPresent();
  }

  ServiceTimes serviceTimes() {
    return serviceTimes;
  }

  /** Returns how far the event loop is behind, and starts the next measurement. */
  long loopDelayNs() {
    if (!isMeasuringLoopDelay) {
      isMeasuringLoopDelay = true;
      long dueNs = nowNs() + LOOP_DELAY_TIMER_MS * NS_PER_MS;
      loop()
          .schedule(
              () -> {
                isMeasuringLoopDelay = false;
                loopDelay.record(dueNs, nowNs());
              },
              LOOP_DELAY_TIMER_MS,
              TimeUnit.MILLISECONDS);
    }
    return loopDelay.delayNs(nowNs());
  }

  /** Returns the average of the failures of all backend servers of a service. */
  FailureAverage serviceFailures(ServiceName service) {
    return serviceFailures.computeIfAbsent(
        service, _ -> new FailureAverage(SERVICE_OUTCOME_WEIGHT, nowNs()));
  }

  RetryBudget retryBudget(ServiceName service) {
    RetryBudget budget = retryBudgets.computeIfAbsent(service, this::newRetryBudget);
    int gateways = dependencies.fleet().gateways().get().size();
    budget.setShare(gateways == 0 ? 0 : settings().retrySlack(), gateways);
    return budget;
  }

  private RetryBudget newRetryBudget(ServiceName service) {
    RetryBudget budget =
        new RetryBudget(
            service.value(), settings().retryRatio(), random(), dependencies.fleet().monitor());
    observer().onRetryBudgetCreated(service, budget);
    return budget;
  }

  List<AdmissionStep> admissionSteps(AdmissionStep.Request request) {
    return dependencies.fleet().admissionSteps().stream()
        .flatMap(factory -> factory.create(request).stream())
        .toList();
  }

  ServiceName chooseService(Route route) {
    return serviceSelectors
        .computeIfAbsent(route.name(), _ -> new WeightedServiceSelector(dependencies.random()))
        .next(route.services());
  }

  /**
   * Returns whether the rate limit of a backend server allows a request now.
   *
   * @param permitUntilNs monotonic time until which a permit allows it; empty without a permit
   */
  boolean isPermitted(BackendEntry entry, OptionalLong permitUntilNs) {
    return entry.stats().rateLimit().isEmpty()
        || permitUntilNs.isPresent() && nowNs() - permitUntilNs.getAsLong() < 0;
  }

  /** Returns why a request must not be sent to a selected backend server; empty if it may be. */
  Optional<NotRunReason> reasonNotToSend(
      RequestMessage message, Route route, BackendSelection.Selected selected, long deadlineNs) {
    // A key may have been withdrawn while the request waited.
    Optional<NotRunReason> keyReason =
        table()
            .state()
            .plan()
            .flatMap(
                plan -> KeyCheck.reasonNotToSend(plan, route, message.key(), message.tenant()));
    if (keyReason.isPresent()) {
      return keyReason;
    }
    if (!table().acceptsRequests(selected.entry()) || nowNs() >= deadlineNs) {
      return Optional.of(NotRunReason.NO_BACKEND);
    }
    return isPermitted(selected.entry(), selected.permitUntilNs())
        ? Optional.empty()
        : Optional.of(NotRunReason.RATE_LIMITED);
  }

  VersionRouting.Send recordSent(Route route, BackendEntry entry) {
    double usualNs = serviceTimes.averageNs(route.name(), route.targetLatencyMs());
    return fleet().versions().recordSent(route.name(), entry.stats().instance(), usualNs);
  }

  void reportViolation(Invariant invariant, RequestMessage message, long observed) {
    String subject = message.requestId().orElse("");
    dependencies.fleet().monitor().recordViolation(new Violation(invariant, subject, observed, 0));
  }

  void reportSent(
      RequestMessage message, BackendSelection.Selected selected, String cause, long deadlineNs) {
    String load =
        selected
            .load()
            .map(
                report ->
                    "%d+%d/%d at %.2f"
                        .formatted(
                            report.running(),
                            report.waiting(),
                            report.slots(),
                            report.slowdownFactor()))
            .orElse("");
    long nowNs = nowNs();
    observer()
        .onRequestSent(
            new ExchangeObserver.Sent(
                message.requestId(),
                selected.entry().stats().instance().name(),
                cause,
                selected.estimate(),
                load,
                (deadlineNs - nowNs) / NS_PER_MS,
                nowNs - message.arrivedNs()));
  }

  void reportFinished(
      RequestMessage message,
      Route route,
      ServiceName service,
      String outcome,
      int status,
      int sendCount,
      String detail) {
    observer()
        .onExchangeFinished(
            new ExchangeObserver.Summary(
                message.requestId(),
                Optional.of(route),
                Optional.of(service),
                outcome,
                status,
                sendCount,
                nowNs() - message.arrivedNs(),
                detail));
  }

  void reportAttemptEnd(
      RequestMessage message,
      Attempt attempt,
      Attempt.Result result,
      Optional<RequestFingerprint> fingerprint) {
    observer()
        .onAttemptEnded(
            new ExchangeObserver.AttemptEnd(
                message.requestId(),
                attempt.entry().stats().instance().name(),
                AttemptResults.name(result),
                nowNs() - attempt.sentNs(),
                fingerprint));
  }
}
