package org.cowslipstair.edge.caller;

import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.jspecify.annotations.Nullable;

/**
 * Closes a connection that waits for a request for longer than the idle timeout, or whose caller
 * has read nothing of the last response for as long. Used on its event loop only.
 */
final class IdleTimer {
  private static final long NS_PER_MS = 1_000_000L;

  private final CallerContext callerContext;
  private final ResponseQueue responses;
  private final BooleanSupplier isIdle;
  private final Runnable close;
  private @Nullable ScheduledFuture<?> timer;
  private long idleSinceNs;
  private long lastUnsentBytes;

  /**
   * Creates a timer that is not started.
   *
   * @param isIdle whether the connection waits for a request and has nothing left to send
   */
  IdleTimer(
      CallerContext callerContext,
      ResponseQueue responses,
      BooleanSupplier isIdle,
      Runnable close) {
    this.callerContext = callerContext;
    this.responses = responses;
    this.isIdle = isIdle;
    this.close = close;
  }

  /** Begins a new idle time if the connection is idle. */
  void startIfIdle() {
    if (!isIdle.getAsBoolean()) {
      return;
    }
    idleSinceNs = callerContext.nowNs();
    lastUnsentBytes = 0;
    if (timer == null) {
      schedule(timeoutMs());
    }
  }

  void cancel() {
    if (timer != null) {
      timer.cancel(false);
    }
  }

  private long timeoutMs() {
    return callerContext.bounds().idleTimeoutMs();
  }

  private void schedule(long delayMs) {
    timer =
        responses
            .context()
            .executor()
            .schedule(this::onTimer, Math.max(1, delayMs), TimeUnit.MILLISECONDS);
  }

  private void onTimer() {
    if (isExpired()) {
      timer = null;
      close.run();
      return;
    }
    long idleMs = isIdle.getAsBoolean() ? idleMs() : 0;
    schedule(timeoutMs() - idleMs);
  }

  private boolean isExpired() {
    if (isIdle.getAsBoolean()) {
      return idleMs() >= timeoutMs();
    }
    if (!responses.isEmpty() || responses.isSent()) {
      return false;
    }
    long previousUnsentBytes = lastUnsentBytes;
    lastUnsentBytes = responses.unsentBytes();
    return lastUnsentBytes == previousUnsentBytes;
  }

  private long idleMs() {
    return (callerContext.nowNs() - idleSinceNs) / NS_PER_MS;
  }
}
