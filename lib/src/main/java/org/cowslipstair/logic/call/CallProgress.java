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

/** What has happened to one call so far, and whether it may be sent again. Used by one thread. */
final class CallProgress {
  private static final int MAX_UNUSED_SLOTS = 4;
  private final String requestId;
  private final boolean idempotent;
  private final int maxAttempts;
  private final InvariantMonitor monitor;
  private final Set<BackendName> excluded = new HashSet<>();
  private int sends;
  private int sendsThatMayRun;
  private int unusedSlots;
  private boolean exclusionsDropped;
  private Optional<MayHaveRunReason> mayHaveRunReason = Optional.empty();
  private NotRunReason notRunReason = NotRunReason.NO_FREE_SLOT;

  CallProgress(String requestId, boolean idempotent, int maxAttempts, InvariantMonitor monitor) {
    this.requestId = requestId;
    this.idempotent = idempotent;
    this.maxAttempts = maxAttempts;
    this.monitor = monitor;
  }

  /** What to do after an attempt ended without an answer. */
  enum Next {
    /** Ask for another slot; the call was not sent. */
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
    return sendsThatMayRun > 0;
  }

  /** Takes note that the call is about to be sent. */
  void sending() {
    sends++;
    sendsThatMayRun++;
    if (!idempotent) {
      monitor.checkAtMost(Invariant.NON_IDEMPOTENT_ONCE, requestId, sendsThatMayRun, 1);
    }
  }

  /**
   * Takes the end of an attempt.
   *
   * @param bodyIntact whether the body can be sent again from its first byte
   */
  Next ended(AttemptOutcome outcome, boolean bodyIntact) {
    return switch (outcome) {
      case AttemptOutcome.Answered _, AttemptOutcome.Cancelled _ -> Next.STOP;
      case AttemptOutcome.NotAdmitted(NotRunReason reason) -> {
        yield notAdmitted(reason);
      }
      case AttemptOutcome.NotStarted(BackendName backend) -> {
        excluded.add(backend);
        unusedSlots++;
        yield unusedSlots <= MAX_UNUSED_SLOTS ? Next.ADMIT_AGAIN : Next.STOP;
      }
      case AttemptOutcome.NotSent(BackendName backend) ->
          didNotRun(backend, NotRunReason.BACKEND_UNREACHABLE, bodyIntact);
      case AttemptOutcome.Shed(BackendName backend) ->
          didNotRun(backend, NotRunReason.BACKEND_SHED, bodyIntact);
      case AttemptOutcome.Failed(BackendName backend, MayHaveRunReason reason) -> {
        excluded.add(backend);
        mayHaveRunReason = Optional.of(reason);
        boolean lost = reason != MayHaveRunReason.DEADLINE_PASSED;
        yield lost && idempotent && bodyIntact ? retry() : Next.STOP;
      }
      case AttemptOutcome.CallerFailed _ -> {
        mayHaveRunReason = Optional.of(MayHaveRunReason.CONNECTION_LOST);
        yield Next.STOP;
      }
    };
  }

  /** Returns the result of a call that got no answer. */
  CallResult unanswered(RetryAfter retryAfter) {
    if (sendsThatMayRun > 0) {
      return new MayHaveRun(mayHaveRunReason.orElse(MayHaveRunReason.CONNECTION_LOST));
    }
    return new NotRun(notRunReason, retryAfter.nextMs(notRunReason));
  }

  /** Checks a result before it is passed on. */
  void check(CallResult result) {
    switch (result) {
      case NotRun _ ->
          monitor.checkAtMost(Invariant.NOT_RUN_WAS_NOT_SENT, requestId, sendsThatMayRun, 0);
      case Answered _, MayHaveRun _ -> {}
    }
  }

  private Next didNotRun(BackendName backend, NotRunReason reason, boolean bodyIntact) {
    sendsThatMayRun--;
    excluded.add(backend);
    notRunReason = reason;
    return bodyIntact ? retry() : Next.STOP;
  }

  /** Lets the call return to a backend server that failed it when there is no other. */
  private Next notAdmitted(NotRunReason reason) {
    boolean allFailed = reason == NotRunReason.NO_BACKEND && sends > 0;
    if (allFailed && !exclusionsDropped) {
      exclusionsDropped = true;
      excluded.clear();
      return Next.ADMIT_AGAIN;
    }
    if (sends == 0) {
      notRunReason = reason;
    }
    return Next.STOP;
  }

  private Next retry() {
    return sends < maxAttempts ? Next.RETRY : Next.STOP;
  }
}
