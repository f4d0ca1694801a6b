package org.cowslipstair.edge.exchange;

import io.netty.util.concurrent.ScheduledFuture;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.cowslipstair.edge.backend.BackendEntry;
import org.cowslipstair.edge.quarantine.QuarantineService;
import org.cowslipstair.logic.quarantine.QuarantineVerdict;
import org.cowslipstair.model.call.MayHaveRunReason;
import org.cowslipstair.model.call.NotRunReason;
import org.cowslipstair.model.traffic.RequestFingerprint;
import org.jspecify.annotations.Nullable;

/**
 * Keeps one request from crashing further backend servers: holds it back if it is known to do so,
 * and records whether servers crash while they run it. The fingerprint is computed only when
 * something is known about a request like it, or when a connection has ended.
 */
final class CrashGuard {
  /** Maximum time for which a retry waits to learn whether the backend server has crashed. */
  private static final long MAX_CHECK_MS = 20;

  private final ExchangeContext context;
  private final RequestMessage message;
  private final QuarantineService quarantine;
  private @Nullable RequestFingerprint fingerprint;
  private @Nullable String headDigits;
  private boolean isOnTrial;

  CrashGuard(ExchangeContext context, RequestMessage message) {
    this.context = context;
    this.message = message;
    this.quarantine = context.fleet().quarantine();
  }

  /** Returns the fingerprint of the request. */
  RequestFingerprint fingerprint() {
    if (fingerprint == null) {
      fingerprint = message.fingerprint();
    }
    return fingerprint;
  }

  private boolean isRemembered() {
    return fingerprint != null || !quarantine.isEmpty() && quarantine.knowsHead(headDigits());
  }

  private String headDigits() {
    if (headDigits == null) {
      headDigits = message.fingerprintHead().digits();
    }
    return headDigits;
  }

  /** Records that the request has arrived; starts a trial if one is due. */
  void onArrival() {
    if (isRemembered()) {
      isOnTrial =
          quarantine.onArrival(fingerprint()) instanceof QuarantineVerdict.HeldBack
              && quarantine.tryStartTrial(fingerprint());
    }
  }

  /**
   * Returns the response to the request if it must not be sent now; empty if it may be sent.
   *
   * @param mayHaveRun whether it has been sent before
   */
  Optional<Refusal> refusal(boolean mayHaveRun) {
    if (isOnTrial || !(verdict() instanceof QuarantineVerdict.HeldBack(var trialInNs))) {
      return Optional.empty();
    }
    return Optional.of(
        mayHaveRun
            ? new Refusal.MayHaveRun(MayHaveRunReason.CRASHES_BACKENDS)
            : new Refusal.NotRun(NotRunReason.CRASHES_BACKENDS, trialInNs));
  }

  /** Returns whether backend servers have crashed while they ran the request. */
  boolean isSuspected() {
    return !(verdict() instanceof QuarantineVerdict.Unsuspected);
  }

  private QuarantineVerdict verdict() {
    return isRemembered() ? quarantine.verdict(fingerprint()) : new QuarantineVerdict.Unsuspected();
  }

  /** Records that the request is sent. A trial is a single send. */
  void onSent() {
    if (isRemembered()) {
      quarantine.recordSend(fingerprint());
      isOnTrial = false;
    }
  }

  /** Records that a backend server has run the request completely. */
  void onCompleteResponse() {
    if (isRemembered()) {
      quarantine.clear(fingerprint());
    }
  }

  /**
   * Records whether a backend server has crashed after the request has failed there.
   *
   * @param isConnectionLost whether the connection has ended
   * @param next called once when that is known, or after a short time
   */
  void onFailure(boolean isConnectionLost, BackendEntry entry, Runnable next) {
    if (!isConnectionLost) {
      next.run();
      return;
    }
    RequestFingerprint lost = fingerprint();
    Runnable nextOnce = once(next);
    ScheduledFuture<?> timer =
        context.loop().schedule(nextOnce, MAX_CHECK_MS, TimeUnit.MILLISECONDS);
    context
        .crashDetector()
        .check(
            entry,
            hasCrashed -> {
              timer.cancel(false);
              if (hasCrashed) {
                quarantine.recordCrash(lost, entry.stats().instance().process());
              }
              nextOnce.run();
            });
  }

  private static Runnable once(Runnable action) {
    return new Runnable() {
      private Optional<Runnable> pending = Optional.of(action);

      @Override
      public void run() {
        Optional<Runnable> current = pending;
        pending = Optional.empty();
        current.ifPresent(Runnable::run);
      }
    };
  }
}
