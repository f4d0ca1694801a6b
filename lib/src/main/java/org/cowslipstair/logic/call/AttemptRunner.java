package org.cowslipstair.logic.call;

import java.io.IOException;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.cowslipstair.logic.admission.Admission.AdmissionRequest;
import org.cowslipstair.logic.admission.NotAdmittedException;
import org.cowslipstair.logic.admission.Permit;
import org.cowslipstair.logic.invariant.InvariantMonitor;
import org.cowslipstair.model.call.CallHeaders;
import org.cowslipstair.model.call.MayHaveRunReason;
import org.cowslipstair.model.call.NotRunReason;
import org.cowslipstair.model.config.BackendName;
import org.cowslipstair.model.config.BackendServer;
import org.cowslipstair.model.pool.CallOutcome;
import org.cowslipstair.model.pool.CallReport;
import org.cowslipstair.model.pool.PoolId;
import org.cowslipstair.port.BackendException;
import org.cowslipstair.port.BackendTransport.BackendRequest;
import org.cowslipstair.port.BackendTransport.BackendResponse;

/** Runs one attempt of a call: waits for a slot, sends, and releases the slot. */
final class AttemptRunner {
  private static final int SERVICE_UNAVAILABLE = 503;
  private final CallPorts ports;
  private final CallHooks hooks;
  private final HedgeDelays hedgeDelays;
  private final int maxBufferedResponseBytes;
  private final InvariantMonitor monitor;

  AttemptRunner(
      CallPorts ports,
      CallHooks hooks,
      HedgeDelays hedgeDelays,
      int maxBufferedResponseBytes,
      InvariantMonitor monitor) {
    this.monitor = monitor;
    this.ports = ports;
    this.hooks = hooks;
    this.hedgeDelays = hedgeDelays;
    this.maxBufferedResponseBytes = maxBufferedResponseBytes;
  }

  /**
   * Runs an attempt.
   *
   * @param onSend called just before the call is sent
   */
  AttemptOutcome run(
      CallContext call, Set<BackendName> excluded, boolean isHedge, Consumer<BackendServer> onSend)
      throws InterruptedException {
    int attempt = call.attempts().incrementAndGet();
    long requestedNs = ports.clock().nowNs();
    Permit permit;
    try {
      permit =
          call.admission()
              .admit(
                  new AdmissionRequest(
                      call.service().name(), call.deadlineNs(), isHedge, excluded));
    } catch (NotAdmittedException e) {
      recordDecision(call, new CallDecision.NotAdmitted(attempt, e.reason()));
      return new AttemptOutcome.NotAdmitted(e.reason());
    }
    BackendName backend = permit.backend().name();
    long waitNs = ports.clock().nowNs() - requestedNs;
    recordDecision(call, new CallDecision.Admitted(backend, attempt, waitNs));
    Optional<AttemptOutcome> notSentOutcome = checkBeforeSend(call, permit, attempt);
    if (notSentOutcome.isPresent()) {
      return notSentOutcome.get();
    }
    recordDecision(call, new CallDecision.Sent(backend, attempt));
    onSend.accept(permit.backend());
    return send(call, permit, attempt);
  }

  private Optional<AttemptOutcome> checkBeforeSend(CallContext call, Permit permit, int attempt) {
    BackendName backend = permit.backend().name();
    boolean mayStart =
        permit.canStartCall() && ports.configuration().get().acceptsNewCalls(backend);
    if (!mayStart) {
      permit.release(CallReport.unused());
      recordDecision(call, new CallDecision.NotStarted(backend, attempt));
      return Optional.of(new AttemptOutcome.NotStarted(backend));
    }
    if (ports.clock().nowNs() >= call.deadlineNs()) {
      permit.release(CallReport.unused());
      recordDecision(call, new CallDecision.NotStarted(backend, attempt));
      return Optional.of(new AttemptOutcome.NotAdmitted(NotRunReason.DEADLINE_TOO_CLOSE));
    }
    return Optional.empty();
  }

  private AttemptOutcome send(CallContext call, Permit permit, int attempt)
      throws InterruptedException {
    BackendServer backend = permit.backend();
    CallRequest request = call.request();
    long deadlineNs = Math.min(call.deadlineNs(), permit.expiresAtNs());
    BackendRequest outgoing =
        new BackendRequest(
            request.method(), request.target(), request.headers(), call.body(), deadlineNs);
    Slot slot = new Slot(call, permit, attempt, ports.clock().nowNs());
    try {
      BackendResponse response = ports.transport().send(backend, outgoing);
      return handleResponseHead(slot, response, deadlineNs);
    } catch (BackendException e) {
      return handleFailure(slot, e);
    } catch (InterruptedException e) {
      slot.release(CallOutcome.CANCELLED);
      recordResponseTime(slot);
      throw e;
    } catch (RuntimeException e) {
      slot.release(CallOutcome.FAILED);
      throw e;
    }
  }

  private AttemptOutcome handleFailure(Slot slot, BackendException failure) {
    BackendName backend = slot.permit().backend().name();
    return switch (failure) {
      case BackendException.NotSent _ -> {
        boolean deadlinePassed = ports.clock().nowNs() >= slot.call().deadlineNs();
        slot.release(deadlinePassed ? CallOutcome.TIMED_OUT : CallOutcome.FAILED);
        recordDecision(slot.call(), new CallDecision.NotSent(backend, slot.attempt()));
        yield new AttemptOutcome.NotSent(backend);
      }
      case BackendException.ConnectionLost _ -> {
        slot.release(CallOutcome.FAILED);
        yield failAttempt(slot, MayHaveRunReason.CONNECTION_LOST);
      }
      case BackendException.DeadlinePassed _ -> {
        slot.release(CallOutcome.TIMED_OUT);
        yield failAttempt(slot, MayHaveRunReason.DEADLINE_PASSED);
      }
      case BackendException.CallerFailed _ -> {
        slot.release(CallOutcome.CANCELLED);
        yield new AttemptOutcome.CallerFailed(backend);
      }
    };
  }

  private AttemptOutcome handleResponseHead(Slot slot, BackendResponse response, long deadlineNs) {
    CallContext call = slot.call();
    BackendName backend = slot.permit().backend().name();
    if (isShed(response)) {
      response.close();
      slot.release(CallOutcome.SHED);
      recordDecision(call, new CallDecision.Shed(backend, slot.attempt()));
      return new AttemptOutcome.Shed(backend);
    }
    TrackedResponse tracked =
        new TrackedResponse(
            backend,
            slot.attempt(),
            call.request().method(),
            response,
            ports.clock().nowNs() - slot.sentNs(),
            deadlineNs,
            ports.clock(),
            slot::release,
            monitor);
    long length = tracked.expectedBytes();
    if (call.idempotent() && length > 0 && length <= maxBufferedResponseBytes) {
      try {
        tracked.buffer();
      } catch (IOException ignored) {
        tracked.close();
        boolean deadlinePassed = ports.clock().nowNs() >= deadlineNs;
        return failAttempt(
            slot,
            deadlinePassed ? MayHaveRunReason.DEADLINE_PASSED : MayHaveRunReason.CONNECTION_LOST);
      }
    }
    recordResponseTime(slot);
    return new AttemptOutcome.Answered(tracked);
  }

  private AttemptOutcome failAttempt(Slot slot, MayHaveRunReason reason) {
    BackendName backend = slot.permit().backend().name();
    recordDecision(slot.call(), new CallDecision.Failed(backend, slot.attempt(), reason));
    return new AttemptOutcome.Failed(backend, reason);
  }

  /**
   * Records the response time of answered and of cancelled attempts; without the cancelled ones,
   * the slowest responses would be missing from the percentile.
   */
  private void recordResponseTime(Slot slot) {
    CallContext call = slot.call();
    if (call.idempotent() && call.service().hedging()) {
      PoolId pool = new PoolId(call.service().name(), slot.permit().backend().zone());
      hedgeDelays.record(pool, ports.clock().nowNs() - slot.sentNs());
    }
  }

  private void recordDecision(CallContext call, CallDecision decision) {
    hooks.onDecision(call.request().requestId(), ports.clock().nowNs(), decision);
  }

  private static boolean isShed(BackendResponse response) {
    return response.status() == SERVICE_UNAVAILABLE
        && ResponseLength.header(response, CallHeaders.BACKEND_NOT_RUN)
            .filter("1"::equals)
            .isPresent();
  }

  /** A slot in use by one attempt. */
  private final class Slot {
    private final CallContext call;
    private final Permit permit;
    private final int attempt;
    private final long sentNs;

    Slot(CallContext call, Permit permit, int attempt, long sentNs) {
      this.call = call;
      this.permit = permit;
      this.attempt = attempt;
      this.sentNs = sentNs;
    }

    CallContext call() {
      return call;
    }

    Permit permit() {
      return permit;
    }

    int attempt() {
      return attempt;
    }

    long sentNs() {
      return sentNs;
    }

    void release(CallOutcome end) {
      release(new CallReport(end, ports.clock().nowNs() - sentNs));
    }

    void release(CallReport report) {
      permit.release(report);
      recordDecision(call, new CallDecision.Released(permit.backend().name(), attempt, report));
    }
  }
}
