package org.cowslipstair.edge.exchange;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.cowslipstair.edge.backend.BackendEntry;
import org.cowslipstair.edge.http.HeaderRules;
import org.cowslipstair.edge.http.ServerConnection;
import org.cowslipstair.logic.budget.RetryBudget;
import org.cowslipstair.logic.invariant.Invariant;
import org.cowslipstair.logic.stop.PlannedStop;
import org.cowslipstair.model.call.MayHaveRunReason;
import org.cowslipstair.model.call.NotRunReason;
import org.cowslipstair.model.config.BackendName;
import org.cowslipstair.model.config.ServiceName;
import org.cowslipstair.model.traffic.RequestKind;
import org.cowslipstair.model.traffic.Route;
import org.jspecify.annotations.Nullable;

/**
 * Forwards one request to a backend server and the response to the caller. Retries or hedges only
 * where that is safe and the retry budget allows it; responds to the caller at the timeout of the
 * route at the latest. Runs on the event loop.
 */
public final class Exchange implements Attempt.Listener {
  private final ExchangeContext context;
  private final RequestMessage message;
  private final Route route;
  private final ServiceName service;
  private final Responder responder;
  private final RetryBudget retryBudget;
  private final List<Attempt> activeAttempts = new ArrayList<>();
  private final Set<BackendName> triedBackends = new HashSet<>();
  private final RefusalWriter refusalWriter;
  private final HedgeTimer hedgeTimer;
  private final ExchangeTimer timer;
  private final CrashGuard crashGuard;
  private final AdmissionSequence admission;
  private final SendPreparation preparation;
  private final RoomDemand demand;
  private @Nullable Attempt streamedAttempt;
  private MayHaveRunReason lastFailureReason = MayHaveRunReason.CONNECTION_LOST;
  private Attempt.Result.@Nullable CompleteResponse failureResponse;
  private int sendCount;
  private int mayHaveRunCount;
  private boolean finished;

  /** Creates an exchange for a request that matched a route. */
  public Exchange(
      ExchangeContext context, RequestMessage message, Route route, Responder responder) {
    this.context = context;
    this.message = message;
    this.route = route;
    this.responder = responder;
    this.service = context.chooseService(route);
    this.retryBudget = context.retryBudget(service);
    this.refusalWriter = new RefusalWriter(context);
    this.crashGuard = new CrashGuard(context, message);
    this.hedgeTimer = new HedgeTimer(context, retryBudget, this::onHedgeDue);
    this.preparation = new SendPreparation(context, hedgeTimer, new PreparationListener());
    this.timer = new ExchangeTimer(context, ExchangeDeadlines.of(message, route), this::onTimeout);
    this.demand = new RoomDemand(context, message, route, service, timer);
    this.admission =
        new AdmissionSequence(
            context.admissionSteps(demand.admissionRequest()), new AdmissionListener());
  }

  /** Starts the timeout and the selection of a backend server. */
  public void start() {
    retryBudget.recordRequest();
    Optional<Refusal> refusal = timer.start(demand.serviceTimeNs());
    if (refusal.isPresent()) {
      refuse(refusal.get());
      return;
    }
    crashGuard.onArrival();
    if (!refuseIfHeldBack()) {
      admission.start();
    }
  }

  private final class AdmissionListener implements AdmissionStep.Listener {
    @Override
    public void onAdmitted() {
      // A quarantine may have begun while a step was waiting.
      if (!refuseIfHeldBack()) {
        selectBackend("first", false);
      }
    }

    @Override
    public void onRefused(Refusal.NotRun refusal) {
      refuse(refusal);
    }
  }

  /** Lets the request end with a planned stop at the latest, so that its caller has a response. */
  public void onStopBegun(PlannedStop stop) {
    timer.onStopBegun(stop);
  }

  /** Cancels all work, since the caller has disconnected. */
  public void onCallerDisconnected() {
    if (!finished) {
      finish("caller_gone", 0);
    }
  }

  private void selectBackend(String cause, boolean isHedge) {
    preparation.start(demand.criteria(triedBackends, isHedge), cause, isHedge);
  }

  private final class PreparationListener implements SendPreparation.Listener {
    @Override
    public void onConnected(
        BackendSelection.Selected selected, ServerConnection connection, String cause) {
      send(selected, connection, cause);
    }

    @Override
    public void onNoneSelected(NotRunReason reason, boolean isHedge) {
      onNoBackendSelected(reason, isHedge);
    }

    @Override
    public void onWaited(String cause) {
      demand.recordWait();
      if (!refuseIfHeldBack()) {
        selectBackend(cause, false);
      }
    }

    @Override
    public void onUnreachable() {
      onNoBackendSelected(NotRunReason.BACKEND_UNREACHABLE, !activeAttempts.isEmpty());
    }
  }

  private void send(BackendSelection.Selected selected, ServerConnection connection, String cause) {
    BackendEntry entry = selected.entry();
    Optional<NotRunReason> reasonNotToSend =
        context.reasonNotToSend(message, route, selected, timer.deadlines().finalNs());
    if (reasonNotToSend.isPresent()) {
      context.table().release(entry, connection);
      onNoBackendSelected(reasonNotToSend.get(), !activeAttempts.isEmpty());
      return;
    }
    boolean isHedge = !activeAttempts.isEmpty();
    if (isHedge ? crashGuard.isSuspected() : refuseIfHeldBack()) {
      context.table().release(entry, connection);
      return;
    }
    if (!route.kind().isRepeatable() && mayHaveRunCount > 0) {
      context.reportViolation(Invariant.NON_IDEMPOTENT_ONCE, message, mayHaveRunCount);
      context.table().release(entry, connection);
      return;
    }
    crashGuard.onSent();
    sendCount++;
    mayHaveRunCount++;
    triedBackends.add(entry.stats().instance().name());
    preparation.recordRoomAfterSend(selected);
    Attempt attempt =
        new Attempt(
            context, entry, connection, route.kind(), context.recordSent(route, entry), this);
    activeAttempts.add(attempt);
    context.reportSent(message, selected, cause, timer.deadlines().finalNs());
    attempt.send(message, timer.deadlines().finalNs());
    if (route.kind().isRepeatable() && sendCount < route.maxAttempts()) {
      hedgeTimer.start(demand.serviceTimeNs(), timer.deadlines().targetNs());
    }
  }

  private void onHedgeDue() {
    boolean isAlone = activeAttempts.size() == 1 && !preparation.isSelecting();
    boolean isDue = !finished && isAlone && streamedAttempt == null;
    if (isDue && sendCount < route.maxAttempts() && !crashGuard.isSuspected()) {
      selectBackend("hedge", true);
    }
  }

  private void onNoBackendSelected(NotRunReason reason, boolean isHedge) {
    if (finished) {
      return;
    }
    if (isHedge && !activeAttempts.isEmpty()) {
      hedgeTimer.retryLater();
      return;
    }
    if (mayHaveRunCount > 0) {
      failAfterSend();
    } else {
      refuse(new Refusal.NotRun(reason, preparation.roomInNs()));
    }
  }

  @Override
  public void onAttemptEnded(Attempt attempt, Attempt.Result result) {
    activeAttempts.remove(attempt);
    long nowNs = context.nowNs();
    boolean isLost = !finished && AttemptResults.isConnectionLost(result);
    context.reportAttemptEnd(
        message,
        attempt,
        result,
        isLost ? Optional.of(crashGuard.fingerprint()) : Optional.empty());
    boolean isSuccess =
        result instanceof Attempt.Result.CompleteResponse(var head, _)
            && !AttemptResults.isFailure(head);
    recordOutcome(attempt, isSuccess || result instanceof Attempt.Result.StreamCompleted, nowNs);
    if (finished) {
      AttemptResults.release(result);
      return;
    }
    switch (result) {
      case Attempt.Result.CompleteResponse response -> onResponse(attempt, response);
      case Attempt.Result.StreamCompleted _ -> {
        crashGuard.onCompleteResponse();
        responder.endStream();
        finish("answered", HttpResponseStatus.OK.code());
      }
      case Attempt.Result.StreamAborted _ -> {
        crashGuard.onFailure(isLost, attempt.entry(), () -> {});
        responder.abort();
        finish("broken", HttpResponseStatus.BAD_GATEWAY.code());
      }
      case Attempt.Result.NotExecuted _ -> {
        mayHaveRunCount--;
        retryOrFail(NotRunReason.BACKEND_SHED);
      }
      case Attempt.Result.Failed(MayHaveRunReason reason, _) -> {
        lastFailureReason = reason;
        crashGuard.onFailure(
            isLost, attempt.entry(), () -> retryOrFail(NotRunReason.BACKEND_UNREACHABLE));
      }
    }
  }

  private void recordOutcome(Attempt attempt, boolean success, long nowNs) {
    attempt.entry().stats().recordOutcome(success, nowNs);
    context.serviceFailures(service).record(success, nowNs);
  }

  private void onResponse(Attempt attempt, Attempt.Result.CompleteResponse response) {
    HttpResponse head = response.head();
    crashGuard.onCompleteResponse();
    if (AttemptResults.isFailure(head)) {
      if (failureResponse != null) {
        failureResponse.body().release();
      }
      failureResponse = response;
      lastFailureReason = MayHaveRunReason.ANSWER_MALFORMED;
      retryOrFail(NotRunReason.BACKEND_SHED);
      return;
    }
    if (head.status().codeClass() == HttpStatusClass.SUCCESS) {
      recordServiceTime(attempt);
    }
    forwardResponse(response);
  }

  private void recordServiceTime(Attempt attempt) {
    long durationNs = context.nowNs() - attempt.sentNs();
    context.serviceTimes().record(route.name(), route.targetLatencyMs(), durationNs);
  }

  private void forwardResponse(Attempt.Result.CompleteResponse response) {
    long missingBytes = AttemptResults.missingBytes(response);
    if (missingBytes != 0) {
      context.reportViolation(Invariant.WHOLE_ANSWER, message, missingBytes);
    }
    HttpHeaders headers = HeaderRules.endToEnd(response.head().headers());
    responder.writeResponse(response.head().status(), headers, response.body());
    finish("answered", response.head().status().code());
  }

  private void retryOrFail(NotRunReason reason) {
    if (finished || !activeAttempts.isEmpty() || preparation.isSelecting() || refuseIfHeldBack()) {
      return;
    }
    boolean isAllowed = route.kind().isRepeatable() || mayHaveRunCount == 0;
    boolean isInTime = context.nowNs() < timer.deadlines().finalNs();
    if (isAllowed && isInTime && sendCount < route.maxAttempts() && retryBudget.tryAcquireRetry()) {
      selectBackend("retry", false);
    } else if (mayHaveRunCount == 0) {
      refuse(new Refusal.NotRun(reason, preparation.roomInNs()));
    } else {
      failAfterSend();
    }
  }

  private void failAfterSend() {
    Attempt.Result.CompleteResponse storedResponse = failureResponse;
    if (storedResponse != null && AttemptResults.canForward(storedResponse.head().status())) {
      failureResponse = null;
      forwardResponse(storedResponse);
    } else {
      refuse(new Refusal.MayHaveRun(lastFailureReason));
    }
  }

  private boolean refuseIfHeldBack() {
    Optional<Refusal> refusal = crashGuard.refusal(mayHaveRunCount > 0);
    refusal.ifPresent(this::refuse);
    return refusal.isPresent();
  }

  private void onTimeout() {
    if (finished) {
      return;
    }
    if (timer.isCutShortByStop()) {
      context.reportViolation(Invariant.NO_CALL_CUT_OFF_BY_STOP, message, 1);
    }
    long nowNs = context.nowNs();
    activeAttempts.forEach(attempt -> recordOutcome(attempt, false, nowNs));
    if (streamedAttempt != null) {
      responder.abort();
      finish("broken", HttpResponseStatus.GATEWAY_TIMEOUT.code());
    } else if (mayHaveRunCount > 0) {
      refuse(new Refusal.MayHaveRun(MayHaveRunReason.DEADLINE_PASSED));
    } else {
      refuse(new Refusal.NotRun(NotRunReason.DEADLINE_TOO_CLOSE));
    }
  }

  private void refuse(Refusal refusal) {
    if (refusal instanceof Refusal.NotRun && mayHaveRunCount > 0) {
      context.reportViolation(Invariant.NOT_RUN_WAS_NOT_SENT, message, mayHaveRunCount);
    }
    long callerRemainingNs =
        message.callerDeadlineNs().orElse(timer.deadlines().finalNs()) - context.nowNs();
    refusalWriter.write(responder, refusal, message.requestId(), callerRemainingNs);
    finish(refusal.reasonName(), refusal.status().code());
  }

  private void finish(String outcome, int status) {
    finished = true;
    admission.end(
        mayHaveRunCount > 0 ? AdmissionStep.Ending.MAY_HAVE_RUN : AdmissionStep.Ending.NOT_RUN);
    timer.cancel();
    hedgeTimer.cancel();
    preparation.cancel();
    List.copyOf(activeAttempts).forEach(Attempt::cancel);
    activeAttempts.clear();
    if (failureResponse != null) {
      failureResponse.body().release();
      failureResponse = null;
    }
    message.body().release();
    context.reportFinished(
        message, route, service, outcome, status, sendCount, preparation.detail());
  }

  @Override
  public boolean onStreamStart(Attempt attempt, HttpResponse head) {
    if (finished || streamedAttempt != null) {
      return false;
    }
    streamedAttempt = attempt;
    if (route.kind() == RequestKind.DOWNLOAD) {
      // The rest depends on how fast the caller reads.
      recordServiceTime(attempt);
    }
    activeAttempts.remove(attempt);
    activeAttempts.forEach(Attempt::cancel);
    activeAttempts.clear();
    activeAttempts.add(attempt);
    responder.startStream(
        head.status(), HeaderRules.endToEnd(head.headers()), attempt::setAutoRead);
    return true;
  }

  @Override
  public void onStreamPart(ByteBuf part) {
    if (finished) {
      part.release();
    } else {
      responder.writePart(part);
    }
  }
}
