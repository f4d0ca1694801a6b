package org.cowslipstair.logic.call;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.random.RandomGenerator;
import org.cowslipstair.logic.attempt.AttemptStart;
import org.cowslipstair.logic.call.CallResult.Answered;
import org.cowslipstair.logic.call.CallResult.MayHaveRun;
import org.cowslipstair.logic.call.CallResult.NotRun;
import org.cowslipstair.logic.call.CallSummary.Outcome;
import org.cowslipstair.logic.invariant.Invariant;
import org.cowslipstair.logic.invariant.InvariantMonitor;
import org.cowslipstair.model.call.NotRunReason;
import org.cowslipstair.model.config.ConfigSnapshot;
import org.cowslipstair.model.config.RoutingRule;
import org.cowslipstair.model.config.Service;
import org.cowslipstair.model.config.ServiceName;
import org.cowslipstair.port.BackendTransport.CallBody;

/**
 * Carries calls from callers to backend servers: routes, waits for a slot, sends, retries, hedges,
 * and tells the caller whether the call ran. Safe for use by many threads.
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
   * @param random source of jitter; safe for use by many threads
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
    this.retryAfter = new RetryAfter(settings.retryAfterMs(), random);
    this.hedgeDelays = new HedgeDelays(settings.minHedgeDelayNs());
    this.runner =
        new AttemptRunner(ports, hooks, hedgeDelays, settings.bufferedAnswerBytes(), monitor);
  }

  @Override
  public CallResult handle(CallRequest request) throws InterruptedException {
    long arrivedNs = ports.clock().nowNs();
    Optional<NotRunReason> refusal = hooks.refusal();
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
    return route(request, rule.get(), service.get(), arrivedNs);
  }

  private CallResult route(CallRequest request, RoutingRule rule, Service service, long arrivedNs)
      throws InterruptedException {
    long timeoutNs = service.timeoutMs() * NS_PER_MS;
    long deadlineNs = Math.min(request.callerDeadlineNs(), arrivedNs + timeoutNs);
    boolean idempotent = !rule.oncePerKey() && isIdempotent(rule, request.method());
    CallContext call =
        new CallContext(
            request,
            readOnce(request.body()),
            rule,
            service,
            ports.admissions().apply(service),
            idempotent,
            arrivedNs,
            deadlineNs,
            new AtomicInteger());
    decided(request, new CallDecision.Routed(rule.name(), service.name(), idempotent, deadlineNs));
    if (deadlineNs <= arrivedNs) {
      return refuse(
          request, Optional.of(service.name()), NotRunReason.DEADLINE_TOO_CLOSE, arrivedNs);
    }
    budgetsOf(service.name()).called();
    return rule.oncePerKey() ? runOncePerKey(call) : run(call, newProgress(call));
  }

  private CallResult runOncePerKey(CallContext call) throws InterruptedException {
    CallRequest request = call.request();
    AttemptStart start =
        ports
            .guard()
            .begin(
                call.rule().name(),
                request.idempotencyKey(),
                request.requestId(),
                call.deadlineNs());
    return switch (start) {
      case AttemptStart.Refused(NotRunReason reason) ->
          refuse(request, Optional.of(call.service().name()), reason, call.arrivedNs());
      case AttemptStart.Begun begun -> {
        CallProgress progress = newProgress(call);
        try {
          yield run(call, progress);
        } finally {
          if (!progress.mayHaveRun()) {
            ports.guard().release(begun);
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
          HedgedRun hedgedRun = hedgedRun(call, progress);
          outcome = hedgedRun.run();
          hedged |= hedgedRun.hedged();
        } else {
          outcome = runner.run(call, progress.excluded(), false, _ -> progress.sending());
        }
        if (outcome instanceof AttemptOutcome.Answered(TrackedAnswer answer)) {
          return answered(call, progress, answer, hedged);
        }
        if (!mayGoOn(call, progress, outcome)) {
          return unanswered(call, progress, hedged);
        }
      }
    } catch (InterruptedException e) {
      finished(call, new Outcome.CallerGone(), 0, progress, hedged);
      throw e;
    }
  }

  private boolean mayGoOn(CallContext call, CallProgress progress, AttemptOutcome outcome) {
    return switch (progress.ended(outcome, call.isBodyIntact())) {
      case STOP -> false;
      case ADMIT_AGAIN -> true;
      case RETRY -> {
        boolean allowed = budgetsOf(call.service().name()).retries().tryTake(ports.clock().nowNs());
        if (allowed) {
          decided(call.request(), new CallDecision.Retried(call.attempts().get() + 1));
        }
        yield allowed;
      }
    };
  }

  private HedgedRun hedgedRun(CallContext call, CallProgress progress) {
    ShareBudget hedges = budgetsOf(call.service().name()).hedges();
    return new HedgedRun(
        call,
        progress,
        runner,
        hedgeDelays,
        ports,
        new HedgedRun.HedgeBudget(
            () -> hedges.tryTake(ports.clock().nowNs()),
            hedges::putBack,
            delayNs ->
                decided(
                    call.request(), new CallDecision.Hedged(call.attempts().get() + 1, delayNs))));
  }

  private CallResult answered(
      CallContext call, CallProgress progress, TrackedAnswer answer, boolean hedged) {
    decided(
        call.request(),
        new CallDecision.Answered(answer.backend(), answer.attempt(), answer.status()));
    finished(call, new Outcome.Answered(answer.status()), answer.backendTimeNs(), progress, hedged);
    return new Answered(answer);
  }

  private CallResult unanswered(CallContext call, CallProgress progress, boolean hedged) {
    CallResult result = progress.unanswered(retryAfter);
    progress.check(result);
    switch (result) {
      case NotRun(NotRunReason reason, long _) -> {
        decided(call.request(), new CallDecision.Refused(reason));
        finished(call, new Outcome.NotRun(reason), 0, progress, hedged);
      }
      case MayHaveRun(var reason) -> {
        decided(call.request(), new CallDecision.Unknown(reason));
        finished(call, new Outcome.MayHaveRun(reason), 0, progress, hedged);
      }
      case Answered _ -> {}
    }
    return result;
  }

  private void finished(
      CallContext call,
      Outcome outcome,
      long backendTimeNs,
      CallProgress progress,
      boolean hedged) {
    long totalNs = ports.clock().nowNs() - call.arrivedNs();
    int retries = Math.max(0, progress.sends() - (hedged ? 2 : 1));
    hooks.finished(
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
    decided(request, new CallDecision.Refused(reason));
    long totalNs = ports.clock().nowNs() - arrivedNs;
    hooks.finished(
        new CallSummary(service, new Outcome.NotRun(reason), totalNs, totalNs, 0, false));
    return new NotRun(reason, retryAfter.nextMs(reason));
  }

  private CallProgress newProgress(CallContext call) {
    return new CallProgress(
        call.request().requestId(), call.idempotent(), settings.maxAttempts(), monitor);
  }

  private Budgets budgetsOf(ServiceName service) {
    return budgets.computeIfAbsent(service, this::newBudgets);
  }

  private Budgets newBudgets(ServiceName service) {
    long nowNs = ports.clock().nowNs();
    String subject = service.value();
    return new Budgets(
        new ShareBudget(
            Invariant.RETRY_BUDGET,
            subject,
            settings.firstRetries(),
            settings.retryShare(),
            settings.retriesPerSecond(),
            settings.retryBurst(),
            monitor,
            nowNs),
        new ShareBudget(
            Invariant.HEDGE_BUDGET,
            subject,
            0,
            settings.hedgeShare(),
            0,
            settings.hedgeBurst(),
            monitor,
            nowNs));
  }

  private void decided(CallRequest request, CallDecision decision) {
    hooks.decided(request.requestId(), ports.clock().nowNs(), decision);
  }

  private static boolean isIdempotent(RoutingRule rule, String method) {
    return rule.idempotent().orElseGet(() -> IDEMPOTENT_METHODS.contains(method));
  }

  private static CallBody readOnce(CallBody body) {
    return switch (body) {
      case CallBody.Streamed(var stream, long lengthBytes) ->
          new CallBody.Streamed(new ReadOnceStream(stream), lengthBytes);
      case CallBody.None _, CallBody.Buffered _ -> body;
    };
  }

  /** Budgets of one service. */
  private record Budgets(ShareBudget retries, ShareBudget hedges) {
    void called() {
      retries.called();
      hedges.called();
    }
  }
}
