package org.cowslipstair.logic.call;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.cowslipstair.logic.call.CallResult.Answered;
import org.cowslipstair.logic.call.CallResult.MayHaveRun;
import org.cowslipstair.logic.call.CallResult.NotRun;
import org.cowslipstair.logic.invariant.Invariant;
import org.cowslipstair.logic.invariant.InvariantMonitor;
import org.cowslipstair.model.call.MayHaveRunReason;
import org.cowslipstair.model.call.NotRunReason;
import org.cowslipstair.model.config.BackendName;

/** Tracks the attempts of one call and decides whether it may be sent again. Not thread-safe. */
final class CallProgress {
  private static final int MAX_UNUSED_SLOTS = 4;
  private final String requestId;
  private final boolean idempotent;
  private final int maxAttempts;
  private final InvariantMonitor monitor;
  private final Set<BackendName> excluded = new HashSet<>();
  private int sends;
  private int possiblyRunSends;
  private int unusedSlots;
  private boolean exclusionsCleared;
  private Optional<MayHaveRunReason> mayHaveRunReason = Optional.empty();
  private NotRunReason notRunReason = NotRunReason.NO_FREE_SLOT;

  CallProgress(String requestId, boolean idempotent, int maxAttempts, InvariantMonitor monitor) {
    this.requestId = requestId;
    this.idempotent = idempotent;
    this.maxAttempts = maxAttempts;
    this.monitor = monitor;
  }

  /** What to do after an attempt without a response. */
  enum NextStep {
    /** Request another slot; the call was not sent. */
    ADMIT_AGAIN,
    /** Send again if the retry budget allows. */
    RETRY,
    /** Give up. */
    STOP
  }

  Set<BackendName> excluded() {
    return excluded;
  }

  int sends() {
    return sends;
  }

  boolean mayHaveRun() {
    return possiblyRunSends > 0;
  }

  /** Records that the call is about to be sent. */
  void recordSend() {
    sends++;
    possiblyRunSends++;
    if (!idempotent) {
      monitor.checkAtMost(Invariant.NON_IDEMPOTENT_ONCE, requestId, possiblyRunSends, 1);
    }
  }

  /**
   * Records the outcome of an attempt and returns what to do next.
   *
   * @param bodyReplayable whether the request body can be sent again from its first byte
   */
  NextStep recordOutcome(AttemptOutcome outcome, boolean bodyReplayable) {
    return switch (outcome) {
      case AttemptOutcome.Answered _, AttemptOutcome.Cancelled _ -> NextStep.STOP;
      case AttemptOutcome.NotAdmitted(NotRunReason reason) -> {
        yield recordNotAdmitted(reason);
      }
      case AttemptOutcome.NotStarted(BackendName backend) -> {
        excluded.add(backend);
        unusedSlots++;
        yield unusedSlots <= MAX_UNUSED_SLOTS ? NextStep.ADMIT_AGAIN : NextStep.STOP;
      }
      case AttemptOutcome.NotSent(BackendName backend) ->
          recordNotRun(backend, NotRunReason.BACKEND_UNREACHABLE, bodyReplayable);
      case AttemptOutcome.Shed(BackendName backend) ->
          recordNotRun(backend, NotRunReason.BACKEND_SHED, bodyReplayable);
      case AttemptOutcome.Failed(BackendName backend, MayHaveRunReason reason) -> {
        excluded.add(backend);
        mayHaveRunReason = Optional.of(reason);
        boolean connectionLost = reason != MayHaveRunReason.DEADLINE_PASSED;
        yield connectionLost && idempotent && bodyReplayable
            ? retryIfAttemptsLeft()
            : NextStep.STOP;
      }
      case AttemptOutcome.CallerFailed _ -> {
        mayHaveRunReason = Optional.of(MayHaveRunReason.CONNECTION_LOST);
        yield NextStep.STOP;
      }
    };
  }

  /** Returns the result of a call that got no response. */
  CallResult unansweredResult(RetryAfter retryAfter) {
    if (possiblyRunSends > 0) {
      return new MayHaveRun(mayHaveRunReason.orElse(MayHaveRunReason.CONNECTION_LOST));
    }
    return new NotRun(notRunReason, retryAfter.nextMs(notRunReason));
  }

  /** Checks a result against the invariants before it is returned to the caller. */
  void checkInvariants(CallResult result) {
    switch (result) {
      case NotRun _ ->
          monitor.checkAtMost(Invariant.NOT_RUN_WAS_NOT_SENT, requestId, possiblyRunSends, 0);
      case Answered _, MayHaveRun _ -> {}
    }
  }

  private NextStep recordNotRun(BackendName backend, NotRunReason reason, boolean bodyReplayable) {
    possiblyRunSends--;
    excluded.add(backend);
    notRunReason = reason;
    return bodyReplayable ? retryIfAttemptsLeft() : NextStep.STOP;
  }

  /**
   * Clears the exclusions once if every backend server has failed the call, so that it may be
   * retried on one of them.
   */
  private NextStep recordNotAdmitted(NotRunReason reason) {
    boolean allFailed = reason == NotRunReason.NO_BACKEND && sends > 0;
    if (allFailed && !exclusionsCleared) {
      exclusionsCleared = true;
      excluded.clear();
      return NextStep.ADMIT_AGAIN;
    }
    if (sends == 0) {
      notRunReason = reason;
    }
    return NextStep.STOP;
  }

  private NextStep retryIfAttemptsLeft() {
    return sends < maxAttempts ? NextStep.RETRY : NextStep.STOP;
  }
}
