package org.cowslipstair.logic.call;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.random.RandomGenerator;
import org.cowslipstair.logic.call.CallResult.Answered;
import org.cowslipstair.logic.call.CallResult.MayHaveRun;
import org.cowslipstair.logic.call.CallResult.NotRun;
import org.cowslipstair.logic.call.CallSummary.Outcome;
import org.cowslipstair.logic.idempotency.KeyAcquisition;
import org.cowslipstair.logic.invariant.Invariant;
import org.cowslipstair.logic.invariant.InvariantMonitor;
import org.cowslipstair.logic.stop.PlannedStop;
import org.cowslipstair.model.call.NotRunReason;
import org.cowslipstair.model.config.ConfigSnapshot;
import org.cowslipstair.model.config.RoutingRule;
import org.cowslipstair.model.config.Service;
import org.cowslipstair.model.config.ServiceName;
import org.cowslipstair.port.BackendTransport.BackendRequestBody;

/**
 * Runs calls on backend servers: routes, waits for a slot, sends, retries, hedges, and reports to
 * the caller whether the call ran. Thread-safe.
 */
public final class CallService implements CallHandler {
  private static final Set<String> IDEMPOTENT_METHODS =
      Set.of("GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE");
  private static final long NS_PER_MS = 1_000_000L;
  private final CallSettings settings;
  private final CallPorts ports;
  private final CallHooks hooks;
  private final InvariantMonitor monitor;
  private final RetryAfter retryAfter;
  private final HedgeDelays hedgeDelays;
  private final AttemptRunner runner;
  private final Map<ServiceName, Budgets> budgets = new ConcurrentHashMap<>();

  /**
   * Creates a service.
   *
   * @param random source of jitter; must be thread-safe
   */
  public CallService(
      CallSettings settings,
      CallPorts ports,
      RandomGenerator random,
      InvariantMonitor monitor,
      CallHooks hooks) {
    this.settings = settings;
    this.ports = ports;
    this.hooks = hooks;
    this.monitor = monitor;
    this.retryAfter = new RetryAfter(settings.meanRetryAfterMs(), random);
    this.hedgeDelays = new HedgeDelays(settings.minHedgeDelayNs());
    this.runner =
        new AttemptRunner(ports, hooks, hedgeDelays, settings.maxBufferedResponseBytes(), monitor);
  }

  @Override
  public CallResult handle(CallRequest request) throws InterruptedException {
    long arrivedNs = ports.clock().nowNs();
    Optional<NotRunReason> refusal = hooks.refusalReason();
    if (refusal.isPresent()) {
      return refuse(request, Optional.empty(), refusal.get(), arrivedNs);
    }
    ConfigSnapshot snapshot = ports.configuration().get();
    if (snapshot.rules().isEmpty()) {
      return refuse(request, Optional.empty(), NotRunReason.NO_CONFIGURATION, arrivedNs);
    }
    Optional<RoutingRule> rule = snapshot.route(request.host(), request.path(), request.method());
    if (rule.isEmpty()) {
      return refuse(request, Optional.empty(), NotRunReason.NO_ROUTE, arrivedNs);
    }
    Optional<Service> service = snapshot.service(rule.get().service());
    if (service.isEmpty()) {
      return refuse(request, Optional.empty(), NotRunReason.NO_BACKEND, arrivedNs);
    }
    return runRouted(request, rule.get(), service.get(), arrivedNs);
  }

  private CallResult runRouted(
      CallRequest request, RoutingRule rule, Service service, long arrivedNs)
      throws InterruptedException {
    long timeoutNs = service.timeoutMs() * NS_PER_MS;
    long ownDeadlineNs = Math.min(request.callerDeadlineNs(), arrivedNs + timeoutNs);
    Optional<PlannedStop> stop = hooks.plannedStop();
    if (stop.isPresent() && !stop.get().accepts(arrivedNs, ownDeadlineNs, 0)) {
      return refuse(request, Optional.of(service.name()), NotRunReason.GATEWAY_STOPPING, arrivedNs);
    }
    long deadlineNs = stop.map(begun -> begun.limit(ownDeadlineNs)).orElse(ownDeadlineNs);
    boolean idempotent = !rule.oncePerKey() && isIdempotent(rule, request.method());
    CallContext call =
        new CallContext(
            request,
            trackReads(request.body()),
            rule,
            service,
            ports.admissions().apply(service),
            idempotent,
            arrivedNs,
            deadlineNs,
            new AtomicInteger());
    recordDecision(
        request, new CallDecision.Routed(rule.name(), service.name(), idempotent, deadlineNs));
    if (deadlineNs <= arrivedNs) {
      return refuse(
          request, Optional.of(service.name()), NotRunReason.DEADLINE_TOO_CLOSE, arrivedNs);
    }
    budgetsFor(service.name()).recordCall();
    CallResult result = rule.oncePerKey() ? runOncePerKey(call) : run(call, newProgress(call));
    boolean isCutShort = deadlineNs < ownDeadlineNs && result instanceof MayHaveRun;
    if (isCutShort && ports.clock().nowNs() >= deadlineNs) {
      monitor.checkAtMost(Invariant.NO_CALL_CUT_OFF_BY_STOP, request.requestId(), 1, 0);
    }
    return result;
  }

  private CallResult runOncePerKey(CallContext call) throws InterruptedException {
    CallRequest request = call.request();
    KeyAcquisition acquisition =
        ports
            .guard()
            .acquire(
                call.rule().name(),
                request.idempotencyKey(),
                request.requestId(),
                call.deadlineNs());
    return switch (acquisition) {
      case KeyAcquisition.Refused(NotRunReason reason) ->
          refuse(request, Optional.of(call.service().name()), reason, call.arrivedNs());
      case KeyAcquisition.Acquired acquired -> {
        CallProgress progress = newProgress(call);
        try {
          yield run(call, progress);
        } finally {
          if (!progress.mayHaveRun()) {
            ports.guard().release(acquired);
          }
        }
      }
    };
  }

  private CallResult run(CallContext call, CallProgress progress) throws InterruptedException {
    boolean hedged = false;
    try {
      while (true) {
        AttemptOutcome outcome;
        if (call.isHedgeable()) {
          HedgedExecution execution = newHedgedExecution(call, progress);
          outcome = execution.run();
          hedged |= execution.isHedged();
        } else {
          outcome = runner.run(call, progress.excluded(), false, _ -> progress.recordSend());
        }
        if (outcome instanceof AttemptOutcome.Answered(TrackedResponse response)) {
          return finishAnswered(call, progress, response, hedged);
        }
        if (!shouldContinue(call, progress, outcome)) {
          return finishUnanswered(call, progress, hedged);
        }
      }
    } catch (InterruptedException e) {
      reportFinished(call, new Outcome.CallerGone(), 0, progress, hedged);
      throw e;
    }
  }

  private boolean shouldContinue(CallContext call, CallProgress progress, AttemptOutcome outcome) {
    return switch (progress.recordOutcome(outcome, call.isBodyReplayable())) {
      case STOP -> false;
      case ADMIT_AGAIN -> true;
      case RETRY -> {
        boolean allowed =
            budgetsFor(call.service().name()).retries().tryAcquire(ports.clock().nowNs());
        if (allowed) {
          recordDecision(call.request(), new CallDecision.Retried(call.attempts().get() + 1));
        }
        yield allowed;
      }
    };
  }

  private HedgedExecution newHedgedExecution(CallContext call, CallProgress progress) {
    ProportionalBudget hedges = budgetsFor(call.service().name()).hedges();
    return new HedgedExecution(
        call,
        progress,
        runner,
        hedgeDelays,
        ports,
        new HedgedExecution.HedgeBudget(
            () -> hedges.tryAcquire(ports.clock().nowNs()),
            hedges::refund,
            delayNs ->
                recordDecision(
                    call.request(), new CallDecision.Hedged(call.attempts().get() + 1, delayNs))));
  }

  private CallResult finishAnswered(
      CallContext call, CallProgress progress, TrackedResponse response, boolean hedged) {
    recordDecision(
        call.request(),
        new CallDecision.Answered(response.backend(), response.attempt(), response.status()));
    reportFinished(
        call, new Outcome.Answered(response.status()), response.backendTimeNs(), progress, hedged);
    return new Answered(response);
  }

  private CallResult finishUnanswered(CallContext call, CallProgress progress, boolean hedged) {
    CallResult result = progress.unansweredResult(retryAfter);
    progress.checkInvariants(result);
    switch (result) {
      case NotRun(NotRunReason reason, long _) -> {
        recordDecision(call.request(), new CallDecision.Refused(reason));
        reportFinished(call, new Outcome.NotRun(reason), 0, progress, hedged);
      }
      case MayHaveRun(var reason) -> {
        recordDecision(call.request(), new CallDecision.Unknown(reason));
        reportFinished(call, new Outcome.MayHaveRun(reason), 0, progress, hedged);
      }
      case Answered _ -> {}
    }
    return result;
  }

  private void reportFinished(
      CallContext call,
      Outcome outcome,
      long backendTimeNs,
      CallProgress progress,
      boolean hedged) {
    long totalNs = ports.clock().nowNs() - call.arrivedNs();
    int retries = Math.max(0, progress.sends() - (hedged ? 2 : 1));
    hooks.onFinished(
        new CallSummary(
            Optional.of(call.service().name()),
            outcome,
            totalNs,
            Math.max(0, totalNs - backendTimeNs),
            retries,
            hedged));
  }

  private NotRun refuse(
      CallRequest request, Optional<ServiceName> service, NotRunReason reason, long arrivedNs) {
    recordDecision(request, new CallDecision.Refused(reason));
    long totalNs = ports.clock().nowNs() - arrivedNs;
    hooks.onFinished(
        new CallSummary(service, new Outcome.NotRun(reason), totalNs, totalNs, 0, false));
    return new NotRun(reason, retryAfter.nextMs(reason));
  }

  private CallProgress newProgress(CallContext call) {
    return new CallProgress(
        call.request().requestId(), call.idempotent(), settings.maxAttempts(), monitor);
  }

  private Budgets budgetsFor(ServiceName service) {
    return budgets.computeIfAbsent(service, this::newBudgets);
  }

  private Budgets newBudgets(ServiceName service) {
    long nowNs = ports.clock().nowNs();
    String subject = service.value();
    return new Budgets(
        new ProportionalBudget(
            Invariant.RETRY_BUDGET,
            subject,
            settings.initialRetries(),
            settings.retryShare(),
            settings.retriesPerSecond(),
            settings.retryBurst(),
            monitor,
            nowNs),
        new ProportionalBudget(
            Invariant.HEDGE_BUDGET,
            subject,
            0,
            settings.hedgeShare(),
            0,
            settings.hedgeBurst(),
            monitor,
            nowNs));
  }

  private void recordDecision(CallRequest request, CallDecision decision) {
    hooks.onDecision(request.requestId(), ports.clock().nowNs(), decision);
  }

  private static boolean isIdempotent(RoutingRule rule, String method) {
    return rule.idempotent().orElseGet(() -> IDEMPOTENT_METHODS.contains(method));
  }

  private static BackendRequestBody trackReads(BackendRequestBody body) {
    return switch (body) {
      case BackendRequestBody.Streamed(var stream, long lengthBytes) ->
          new BackendRequestBody.Streamed(new ReadTrackingStream(stream), lengthBytes);
      case BackendRequestBody.None _, BackendRequestBody.Buffered _ -> body;
    };
  }

  /** Retry and hedge budgets of one service. */
  private record Budgets(ProportionalBudget retries, ProportionalBudget hedges) {
    void recordCall() {
      retries.recordCall();
      hedges.recordCall();
    }
  }
}
