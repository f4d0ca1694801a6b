package org.cowslipstair.runtime;

import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.cowslipstair.logic.call.CallDecision;
import org.cowslipstair.logic.call.CallHooks;
import org.cowslipstair.logic.call.CallSummary;
import org.cowslipstair.logic.stop.PlannedStop;
import org.cowslipstair.model.call.NotRunReason;

/**
 * Connects the calls of a gateway to its decision log and counters, and refuses calls while the
 * gateway is stopping or isolated.
 */
final class GatewayCallHooks implements CallHooks {
  private final DecisionLog decisionLog;
  private final CallCounter counter;
  private final Consumer<CallSummary> callListener;
  private final BooleanSupplier isIsolated;
  private volatile boolean isStopping;
  private volatile Optional<PlannedStop> plannedStop = Optional.empty();

  GatewayCallHooks(
      DecisionLog decisionLog,
      CallCounter counter,
      Consumer<CallSummary> callListener,
      BooleanSupplier isIsolated) {
    this.decisionLog = decisionLog;
    this.counter = counter;
    this.callListener = callListener;
    this.isIsolated = isIsolated;
  }

  /** Begins a planned stop; it bounds the time of new calls. */
  void beginStop(PlannedStop stop) {
    plannedStop = Optional.of(stop);
  }

  @Override
  public Optional<PlannedStop> plannedStop() {
    return plannedStop;
  }

  /** Refuses all new calls from now on. */
  void refuseNewCalls() {
    isStopping = true;
  }

  @Override
  public Optional<NotRunReason> refusalReason() {
    if (isStopping) {
      return Optional.of(NotRunReason.GATEWAY_STOPPING);
    }
    return isIsolated.getAsBoolean()
        ? Optional.of(NotRunReason.GATEWAY_ISOLATED)
        : Optional.empty();
  }

  @Override
  public void onDecision(String requestId, long atNs, CallDecision decision) {
    decisionLog.record(requestId, atNs, decision);
  }

  @Override
  public void onFinished(CallSummary summary) {
    counter.record(summary);
    callListener.accept(summary);
  }
}
