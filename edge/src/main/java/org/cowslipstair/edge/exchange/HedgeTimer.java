package org.cowslipstair.edge.exchange;

import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.cowslipstair.logic.budget.RetryBudget;
import org.jspecify.annotations.Nullable;

/**
 * Starts a hedge: a second send of a repeatable request while the first send is still in progress.
 */
final class HedgeTimer {
  /**
   * Delay before a hedge that found no good backend server is tried again; by then the pace has
   * changed.
   */
  private static final long RETRY_DELAY_MS = 60;

  /** Time reserved for a hedge to finish before the target latency, in usual service times. */
  private static final double HEDGE_SERVICE_TIMES = 1.3;

  /** Minimum time of the first send before a hedge, in usual service times. */
  private static final double MIN_DELAY_SERVICE_TIMES = 1.1;

  private final ExchangeContext context;
  private final RetryBudget budget;
  private final Runnable onDue;
  private @Nullable ScheduledFuture<?> timer;

  /**
   * Creates a timer.
   *
   * @param onDue called when a hedge is due and the retry budget allows it
   */
  HedgeTimer(ExchangeContext context, RetryBudget budget, Runnable onDue) {
    this.context = context;
    this.budget = budget;
    this.onDue = onDue;
  }

  /**
   * Starts the timer after the first send; later calls have no effect.
   *
   * @param serviceTimeNs usual service time of the route
   * @param targetDeadlineNs monotonic time at which the target latency is reached
   */
  void start(double serviceTimeNs, long targetDeadlineNs) {
    if (timer != null) {
      return;
    }
    long latestStartNs = targetDeadlineNs - (long) (HEDGE_SERVICE_TIMES * serviceTimeNs);
    long delayNs =
        Math.max(latestStartNs - context.nowNs(), (long) (MIN_DELAY_SERVICE_TIMES * serviceTimeNs));
    timer = context.loop().schedule(this::onTimer, delayNs, TimeUnit.NANOSECONDS);
  }

  /** Tries to hedge again after a delay. */
  void retryLater() {
    timer = context.loop().schedule(this::onTimer, RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
  }

  /** Withdraws a hedge from the retry budget; returns false if the budget does not allow it. */
  boolean tryAcquireBudget() {
    return budget.tryAcquireHedge();
  }

  /** Stops the timer. */
  void cancel() {
    if (timer != null) {
      timer.cancel(false);
    }
  }

  private void onTimer() {
    if (budget.canAcquireHedge()) {
      onDue.run();
    }
  }
}
