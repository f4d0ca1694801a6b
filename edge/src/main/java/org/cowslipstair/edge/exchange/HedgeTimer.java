package org.cowslipstair.edge.exchange;

import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.cowslipstair.logic.budget.RetryBudget;
import org.jspecify.annotations.Nullable;

/** Decides when a repeatable request is sent a second time although the first send still runs. */
final class HedgeTimer {
  /** Part of the retry budget that hedges leave for failures. */
  private static final double RESERVE_PART = 0.4;

  /**
   * Pause before a hedge is tried again that found no good backend server; the pace has changed.
   */
  private static final long AGAIN_MS = 60;

  /** Multiple of the usual work that a hedge may need and still be in time. */
  private static final double SECOND_WORK = 1.3;

  /** Multiple of the usual work that the first send gets before a hedge. */
  private static final double FIRST_WORK = 1.1;

  private final ExchangeContext context;
  private final RetryBudget budget;
  private final Runnable due;
  private @Nullable ScheduledFuture<?> timer;

  /**
   * Creates a timer.
   *
   * @param due called when a hedge would be worth it and the budget has room
   */
  HedgeTimer(ExchangeContext context, RetryBudget budget, Runnable due) {
    this.context = context;
    this.budget = budget;
    this.due = due;
  }

  /**
   * Starts the timer after the first send; has no effect later.
   *
   * @param workNs usual time of the work
   * @param targetNs monotonic time until which an answer is of full use
   */
  void start(double workNs, long targetNs) {
    if (timer != null) {
      return;
    }
    long latestNs = targetNs - (long) (SECOND_WORK * workNs);
    long delayNs = Math.max(latestNs - context.nowNs(), (long) (FIRST_WORK * workNs));
    timer = context.loop().schedule(this::fire, delayNs, TimeUnit.NANOSECONDS);
  }

  /** Tries again after a pause. */
  void again() {
    timer = context.loop().schedule(this::fire, AGAIN_MS, TimeUnit.MILLISECONDS);
  }

  /** Takes a hedge from the budget. */
  boolean tryTake() {
    return budget.tryTake(reserve());
  }

  /** Stops the timer. */
  void cancel() {
    if (timer != null) {
      timer.cancel(false);
    }
  }

  private double reserve() {
    return budget.capacity() * RESERVE_PART;
  }

  private void fire() {
    if (budget.mayTake(reserve())) {
      due.run();
    }
  }
}
