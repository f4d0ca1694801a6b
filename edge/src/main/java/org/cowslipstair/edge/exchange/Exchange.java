package org.cowslipstair.edge.exchange;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.cowslipstair.edge.backend.BackendEntry;
import org.cowslipstair.edge.http.HeaderRules;
import org.cowslipstair.edge.http.ServerConnection;
import org.cowslipstair.logic.budget.RetryBudget;
import org.cowslipstair.logic.invariant.Invariant;
import org.cowslipstair.model.call.MayHaveRunReason;
import org.cowslipstair.model.call.NotRunReason;
import org.cowslipstair.model.config.BackendName;
import org.cowslipstair.model.config.ServiceName;
import org.cowslipstair.model.traffic.Route;
import org.jspecify.annotations.Nullable;

/**
 * Carries one request to a backend server and its answer back. Sends it again only where that is
 * safe and the budget allows; answers the caller at the route's timeout at the latest. Lives on the
 * event loop.
 */
public final class Exchange implements Attempt.Listener {
  private static final long NS_PER_MS = 1_000_000L;

  /** Part of the target latency after which a request without an offer is refused. */
  private static final double OFFER_PART = 0.125;

  /** Time kept between the caller's deadline and an answer of our own. */
  private static final long CALLER_MARGIN_NS = 20 * NS_PER_MS;

  private final ExchangeContext context;
  private final RequestMessage message;
  private final Route route;
  private final ServiceName service;
  private final Responder responder;
  private final RetryBudget budget;
  private final long endNs;
  private final long targetNs;
  private final List<Attempt> running = new ArrayList<>();
  private final Set<BackendName> tried = new HashSet<>();
  private final Refusals refusals;
  private final HedgeTimer hedge;
  private @Nullable Placement placement;
  private @Nullable ScheduledFuture<?> timeout;
  private @Nullable Attempt streamed;
  private MayHaveRunReason lastFailure = MayHaveRunReason.CONNECTION_LOST;
  private Attempt.Result.@Nullable Answered failureAnswer;
  private String detail = "";
  private int sends;
  private int mayHaveRun;
  private boolean done;

  /** Creates an exchange for a request that matched a route. */
  public Exchange(
      ExchangeContext context, RequestMessage message, Route route, Responder responder) {
    this.context = context;
    this.message = message;
    this.route = route;
    this.responder = responder;
    this.service = context.nextService(route);
    this.budget = context.retryBudget(service);
    this.refusals = new Refusals(context);
    this.hedge = new HedgeTimer(context, budget, this::hedgeDue);
    long timeoutNs = message.arrivedNs() + route.timeoutMs() * NS_PER_MS;
    long callerNs = message.callerDeadlineNs().orElse(Long.MAX_VALUE);
    this.endNs = Math.min(timeoutNs, callerNs - CALLER_MARGIN_NS);
    this.targetNs = message.arrivedNs() + route.targetLatencyMs() * NS_PER_MS;
  }

  /** Starts to look for a backend server. */
  public void start() {
    budget.requested();
    long leftNs = endNs - context.nowNs();
    if (leftNs <= 0) {
      refuse(new Refusal.NotRun(NotRunReason.DEADLINE_TOO_CLOSE));
      return;
    }
    timeout = context.loop().schedule(this::timedOut, leftNs, TimeUnit.NANOSECONDS);
    place("first", false);
  }

  /** The caller has left: stops all work for it. */
  public void callerGone() {
    if (!done) {
      finish("caller_gone", 0);
    }
  }

  private void place(String cause, boolean isHedge) {
    long nowNs = context.nowNs();
    long offerNs = message.arrivedNs() + (long) (route.targetLatencyMs() * NS_PER_MS * OFFER_PART);
    Placement.Request wanted =
        new Placement.Request(
            service,
            Set.copyOf(tried),
            workNs(),
            targetNs,
            Math.max(offerNs, nowNs),
            endNs,
            isHedge);
    Placement started =
        new Placement(
            context,
            wanted,
            new Placement.Listener() {
              @Override
              public void placed(Placement.Chosen chosen) {
                placement = null;
                if (isHedge && !hedge.tryTake()) {
                  chosen
                      .connection()
                      .ifPresent(
                          connection -> context.table().giveBack(chosen.entry(), connection));
                  Exchange.this.notPlaced(NotRunReason.NO_FREE_SLOT, true);
                  return;
                }
                Exchange.this.placed(chosen, cause);
              }

              @Override
              public void notPlaced(NotRunReason reason, String cause) {
                placement = null;
                detail = cause;
                Exchange.this.notPlaced(reason, isHedge);
              }
            });
    placement = started;
    started.start();
  }

  private double workNs() {
    return context.workTimes().averageNs(route.name(), route.targetLatencyMs());
  }

  private void placed(Placement.Chosen chosen, String cause) {
    if (chosen.connection().isPresent()) {
      send(chosen, chosen.connection().get(), cause);
      return;
    }
    context
        .table()
        .acquire(
            chosen.entry(),
            connection -> {
              if (done) {
                context.table().giveBack(chosen.entry(), connection);
              } else {
                send(chosen, connection, cause);
              }
            },
            _ -> {
              if (!done) {
                notPlaced(NotRunReason.BACKEND_UNREACHABLE, !running.isEmpty());
              }
            });
  }

  private void send(Placement.Chosen chosen, ServerConnection connection, String cause) {
    BackendEntry entry = chosen.entry();
    long nowNs = context.nowNs();
    if (!context.table().takesRequests(entry) || nowNs >= endNs) {
      context.table().giveBack(entry, connection);
      notPlaced(NotRunReason.NO_BACKEND, !running.isEmpty());
      return;
    }
    if (!route.kind().isRepeatable() && mayHaveRun > 0) {
      context.violated(Invariant.NON_IDEMPOTENT_ONCE, message, mayHaveRun);
      context.table().giveBack(entry, connection);
      return;
    }
    sends++;
    mayHaveRun++;
    tried.add(entry.record().instance().name());
    Attempt attempt = new Attempt(context, entry, connection, this);
    running.add(attempt);
    context.reportSent(message, chosen, cause, endNs);
    attempt.send(message, endNs);
    if (route.kind().isRepeatable() && sends < route.maxAttempts()) {
      hedge.start(workNs(), targetNs);
    }
  }

  private void hedgeDue() {
    boolean due = !done && running.size() == 1 && placement == null && streamed == null;
    if (due && sends < route.maxAttempts()) {
      place("hedge", true);
    }
  }

  private void notPlaced(NotRunReason reason, boolean isHedge) {
    if (done) {
      return;
    }
    if (isHedge && !running.isEmpty()) {
      hedge.again();
      return;
    }
    if (mayHaveRun > 0) {
      giveUp();
    } else {
      refuse(new Refusal.NotRun(reason));
    }
  }

  @Override
  public void ended(Attempt attempt, Attempt.Result result) {
    running.remove(attempt);
    long nowNs = context.nowNs();
    context
        .observer()
        .attemptEnded(
            message.requestId(),
            attempt.entry().record().instance().name(),
            Results.name(result),
            nowNs - attempt.sentNs());
    boolean good =
        result instanceof Attempt.Result.Answered(var head, _) && !Results.isFailure(head);
    attempt.entry().record().outcome(good || result instanceof Attempt.Result.StreamEnded, nowNs);
    if (done) {
      Results.release(result);
      return;
    }
    switch (result) {
      case Attempt.Result.Answered answered -> answered(attempt, answered);
      case Attempt.Result.StreamEnded _ -> {
        responder.end();
        finish("answered", HttpResponseStatus.OK.code());
      }
      case Attempt.Result.StreamBroken _ -> {
        responder.abort();
        finish("broken", HttpResponseStatus.BAD_GATEWAY.code());
      }
      case Attempt.Result.NotExecuted _ -> {
        mayHaveRun--;
        again(NotRunReason.BACKEND_SHED);
      }
      case Attempt.Result.Failed(MayHaveRunReason reason, _) -> {
        lastFailure = reason;
        again(NotRunReason.BACKEND_UNREACHABLE);
      }
    }
  }

  private void answered(Attempt attempt, Attempt.Result.Answered answered) {
    HttpResponse head = answered.head();
    if (Results.isFailure(head)) {
      if (failureAnswer != null) {
        failureAnswer.body().release();
      }
      failureAnswer = answered;
      lastFailure = MayHaveRunReason.ANSWER_MALFORMED;
      again(NotRunReason.BACKEND_SHED);
      return;
    }
    if (head.status().codeClass() == HttpStatusClass.SUCCESS) {
      long tookNs = context.nowNs() - attempt.sentNs();
      context.workTimes().add(route.name(), route.targetLatencyMs(), tookNs);
    }
    deliver(answered);
  }

  private void deliver(Attempt.Result.Answered answered) {
    long missing = Results.missingBytes(answered);
    if (missing != 0) {
      context.violated(Invariant.WHOLE_ANSWER, message, missing);
    }
    HttpHeaders headers = new DefaultHttpHeaders();
    HeaderRules.copyEndToEnd(answered.head().headers(), headers);
    responder.answer(answered.head().status(), headers, answered.body());
    finish("answered", answered.head().status().code());
  }

  private void again(NotRunReason reason) {
    if (!running.isEmpty() || placement != null) {
      return;
    }
    boolean allowed = route.kind().isRepeatable() || mayHaveRun == 0;
    boolean timely = context.nowNs() < endNs;
    if (allowed && timely && sends < route.maxAttempts() && budget.tryTake(0)) {
      place("retry", false);
    } else if (mayHaveRun == 0) {
      refuse(new Refusal.NotRun(reason));
    } else {
      giveUp();
    }
  }

  private void giveUp() {
    Attempt.Result.Answered kept = failureAnswer;
    if (kept != null && Results.mayPassOn(kept.head().status())) {
      failureAnswer = null;
      deliver(kept);
    } else {
      refuse(new Refusal.MayHaveRun(lastFailure));
    }
  }

  private void timedOut() {
    if (done) {
      return;
    }
    long nowNs = context.nowNs();
    running.forEach(attempt -> attempt.entry().record().outcome(false, nowNs));
    if (streamed != null) {
      responder.abort();
      finish("broken", HttpResponseStatus.GATEWAY_TIMEOUT.code());
    } else if (mayHaveRun > 0) {
      refuse(new Refusal.MayHaveRun(MayHaveRunReason.DEADLINE_PASSED));
    } else {
      refuse(new Refusal.NotRun(NotRunReason.DEADLINE_TOO_CLOSE));
    }
  }

  private void refuse(Refusal refusal) {
    if (refusal instanceof Refusal.NotRun && mayHaveRun > 0) {
      context.violated(Invariant.NOT_RUN_WAS_NOT_SENT, message, mayHaveRun);
    }
    long callerLeftNs = message.callerDeadlineNs().orElse(endNs) - context.nowNs();
    refusals.write(responder, refusal, message.requestId(), callerLeftNs);
    finish(refusal.reasonName(), refusal.status().code());
  }

  private void finish(String outcome, int status) {
    done = true;
    if (timeout != null) {
      timeout.cancel(false);
    }
    hedge.cancel();
    if (placement != null) {
      placement.cancel();
      placement = null;
    }
    List.copyOf(running).forEach(Attempt::cancel);
    running.clear();
    if (failureAnswer != null) {
      failureAnswer.body().release();
      failureAnswer = null;
    }
    message.body().release();
    context
        .observer()
        .finished(
            new ExchangeObserver.Summary(
                message.requestId(),
                Optional.of(route),
                Optional.of(service),
                outcome,
                status,
                sends,
                context.nowNs() - message.arrivedNs(),
                detail));
  }

  @Override
  public boolean beginStream(Attempt attempt, HttpResponse head) {
    if (done || streamed != null) {
      return false;
    }
    streamed = attempt;
    for (Attempt other : List.copyOf(running)) {
      if (other != attempt) {
        running.remove(other);
        other.cancel();
      }
    }
    HttpHeaders headers = new DefaultHttpHeaders();
    HeaderRules.copyEndToEnd(head.headers(), headers);
    responder.begin(head.status(), headers, attempt::reading);
    return true;
  }

  @Override
  public void part(ByteBuf part) {
    if (done) {
      part.release();
    } else {
      responder.part(part);
    }
  }
}
