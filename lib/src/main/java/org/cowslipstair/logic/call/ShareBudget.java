package org.cowslipstair.logic.call;

import java.util.concurrent.atomic.AtomicLong;
import org.cowslipstair.logic.invariant.Invariant;
import org.cowslipstair.logic.invariant.InvariantMonitor;

/**
 * Token bucket that is filled by calls, so that what it allows stays a share of them. It may also
 * be filled slowly by time. Safe for use by many threads.
 */
final class ShareBudget {
  private static final long MICRO_TOKENS = 1_000_000;
  private static final long NS_PER_MICROSECOND = 1_000;
  private static final double NS_PER_SECOND = 1e9;
  private static final double ROUNDING = 1e-6;
  private final Invariant invariant;
  private final String subject;
  private final double first;
  private final long perCallMicro;
  private final double perSecond;
  private final long capacityMicro;
  private final InvariantMonitor monitor;
  private final long createdAtNs;
  private final AtomicLong tokensMicro = new AtomicLong();
  private final AtomicLong filledAtNs;
  private final AtomicLong calls = new AtomicLong();
  private final AtomicLong taken = new AtomicLong();

  /**
   * Creates a bucket.
   *
   * @param first tokens that are there from the start
   * @param share tokens that one call adds
   * @param perSecond tokens that a second adds
   * @param capacity most tokens that are saved up
   */
  ShareBudget(
      Invariant invariant,
      String subject,
      double first,
      double share,
      double perSecond,
      double capacity,
      InvariantMonitor monitor,
      long nowNs) {
    this.invariant = invariant;
    this.subject = subject;
    this.first = first;
    this.tokensMicro.set((long) (first * MICRO_TOKENS));
    this.perCallMicro = (long) (share * MICRO_TOKENS);
    this.perSecond = perSecond;
    this.capacityMicro = (long) (capacity * MICRO_TOKENS);
    this.monitor = monitor;
    this.createdAtNs = nowNs;
    this.filledAtNs = new AtomicLong(nowNs);
  }

  /** Counts a call. */
  void called() {
    calls.incrementAndGet();
    add(perCallMicro);
  }

  /** Takes a token if there is one. */
  boolean tryTake(long nowNs) {
    addForTime(nowNs);
    while (true) {
      long before = tokensMicro.get();
      if (before < MICRO_TOKENS) {
        return false;
      }
      if (tokensMicro.compareAndSet(before, before - MICRO_TOKENS)) {
        check(taken.incrementAndGet(), nowNs);
        return true;
      }
    }
  }

  /** Returns a token that was not used. */
  void putBack() {
    taken.decrementAndGet();
    add(MICRO_TOKENS);
  }

  private void addForTime(long nowNs) {
    if (perSecond <= 0) {
      return;
    }
    long before = filledAtNs.get();
    long elapsedMicros = (nowNs - before) / NS_PER_MICROSECOND;
    long earned = (long) (elapsedMicros * perSecond);
    if (earned > 0 && filledAtNs.compareAndSet(before, nowNs)) {
      add(earned);
    }
  }

  private void add(long micro) {
    tokensMicro.getAndUpdate(tokens -> Math.min(capacityMicro, tokens + micro));
  }

  private void check(long takenNow, long nowNs) {
    long latestNs = Math.max(nowNs, filledAtNs.get());
    double seconds = (latestNs - createdAtNs) / NS_PER_SECOND;
    double fromCalls = (double) calls.get() * perCallMicro / MICRO_TOKENS;
    long allowed = (long) Math.floor(first + fromCalls + seconds * perSecond + ROUNDING);
    monitor.checkAtMost(invariant, subject, takenNow, allowed);
  }
}
