package org.cowslipstair.edge.exchange;

import io.netty.util.concurrent.ScheduledFuture;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.cowslipstair.logic.stop.PlannedStop;
import org.cowslipstair.model.call.NotRunReason;
import org.jspecify.annotations.Nullable;

/**
 * The time of one exchange: whether it may start, and when it ends in any case. A planned stop of
 * the gateway shortens it. Used on the event loop only.
 */
final class ExchangeTimer {
  private final ExchangeContext context;
  private final Runnable onTimeout;
  private ExchangeDeadlines deadlines;
  private @Nullable ScheduledFuture<?> timer;
  private boolean isCutShortByStop;

  ExchangeTimer(ExchangeContext context, ExchangeDeadlines deadlines, Runnable onTimeout) {
    this.context = context;
    this.deadlines = deadlines;
    this.onTimeout = onTimeout;
  }

  ExchangeDeadlines deadlines() {
    return deadlines;
  }

  /** Returns whether the exchange has less time because a planned stop began while it ran. */
  boolean isCutShortByStop() {
    return isCutShortByStop;
  }

  /**
   * Starts the timeout, or returns why the exchange must not start.
   *
   * @param serviceTimeNs average service time of such requests
   */
  Optional<Refusal> start(double serviceTimeNs) {
    long nowNs = context.nowNs();
    if (nowNs >= deadlines.finalNs()) {
      return Optional.of(new Refusal.NotRun(NotRunReason.DEADLINE_TOO_CLOSE));
    }
    if (deadlines.isMissedByDelay(context.loopDelayNs())) {
      return Optional.of(new Refusal.NotRun(NotRunReason.GATEWAY_BUSY));
    }
    Optional<PlannedStop> stop = context.plannedStop();
    if (stop.isPresent() && !stop.get().accepts(nowNs, deadlines.finalNs(), serviceTimeNs)) {
      return Optional.of(new Refusal.NotRun(NotRunReason.GATEWAY_STOPPING, OptionalLong.of(0)));
    }
    stop.ifPresent(begun -> deadlines = deadlines.limitedTo(begun));
    schedule();
    return Optional.empty();
  }

  private void schedule() {
    long remainingNs = deadlines.finalNs() - context.nowNs();
    timer = context.loop().schedule(onTimeout, remainingNs, TimeUnit.NANOSECONDS);
  }

  /** Lets the exchange end with a planned stop at the latest, so that its caller has a response. */
  void onStopBegun(PlannedStop stop) {
    ExchangeDeadlines limited = deadlines.limitedTo(stop);
    if (timer == null || timer.isDone() || limited.equals(deadlines)) {
      return;
    }
    deadlines = limited;
    isCutShortByStop = true;
    timer.cancel(false);
    schedule();
  }

  void cancel() {
    if (timer != null) {
      timer.cancel(false);
    }
  }
}
