package org.cowslipstair.runtime;

import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.cowslipstair.logic.call.CallDecision;
import org.cowslipstair.logic.call.CallHooks;
import org.cowslipstair.logic.call.CallSummary;
import org.cowslipstair.model.call.NotRunReason;

/** Connects the calls of a gateway to its decision log, its counters and its readiness. */
final class GatewayHooks implements CallHooks {
  private final DecisionLog decisions;
  private final CallCounter counter;
  private final Consumer<CallSummary> listener;
  private final BooleanSupplier isolated;
  private volatile boolean stopped;

  GatewayHooks(
      DecisionLog decisions,
      CallCounter counter,
      Consumer<CallSummary> listener,
      BooleanSupplier isolated) {
    this.decisions = decisions;
    this.counter = counter;
    this.listener = listener;
    this.isolated = isolated;
  }

  /** Refuses all calls from now on. */
  void stop() {
    stopped = true;
  }

  @Override
  public Optional<NotRunReason> refusal() {
    if (stopped) {
      return Optional.of(NotRunReason.GATEWAY_STOPPING);
    }
    return isolated.getAsBoolean() ? Optional.of(NotRunReason.GATEWAY_ISOLATED) : Optional.empty();
  }

  @Override
  public void decided(String requestId, long atNs, CallDecision decision) {
    decisions.record(requestId, atNs, decision);
  }

  @Override
  public void finished(CallSummary summary) {
    counter.add(summary);
    listener.accept(summary);
  }
}
