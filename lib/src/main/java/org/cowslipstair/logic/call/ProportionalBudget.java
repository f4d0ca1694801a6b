package org.cowslipstair.logic.call;

import java.util.concurrent.atomic.AtomicLong;
import org.cowslipstair.logic.invariant.Invariant;
import org.cowslipstair.logic.invariant.InvariantMonitor;

/**
 * Token bucket refilled by calls, so that the number of permitted operations stays a fixed share of
 * the calls. It may also be refilled at a constant rate. Thread-safe.
 */
final class ProportionalBudget {
  private static final long MICRO_TOKENS_PER_TOKEN = 1_000_000;
  private static final long NS_PER_MICROSECOND = 1_000;
  private static final double NS_PER_SECOND = 1e9;
  private static final double ROUNDING_TOLERANCE = 1e-6;
  private final Invariant invariant;
  private final String subject;
  private final double initialTokens;
  private final long microTokensPerCall;
  private final double tokensPerSecond;
  private final long capacityMicroTokens;
  private final InvariantMonitor monitor;
  private final long createdAtNs;
  private final AtomicLong microTokens = new AtomicLong();
  private final AtomicLong refilledAtNs;
  private final AtomicLong calls = new AtomicLong();
  private final AtomicLong acquired = new AtomicLong();

  /**
   * Creates a bucket.
   *
   * @param initialTokens initial number of tokens
   * @param tokensPerCall tokens added by each call
   * @param tokensPerSecond tokens added per second
   * @param capacity maximum number of tokens
   */
  ProportionalBudget(
      Invariant invariant,
      String subject,
      double initialTokens,
      double tokensPerCall,
      double tokensPerSecond,
      double capacity,
      InvariantMonitor monitor,
      long nowNs) {
    this.invariant = invariant;
    this.subject = subject;
    this.initialTokens = initialTokens;
    this.microTokens.set((long) (initialTokens * MICRO_TOKENS_PER_TOKEN));
    this.microTokensPerCall = (long) (tokensPerCall * MICRO_TOKENS_PER_TOKEN);
    this.tokensPerSecond = tokensPerSecond;
    this.capacityMicroTokens = (long) (capacity * MICRO_TOKENS_PER_TOKEN);
    this.monitor = monitor;
    this.createdAtNs = nowNs;
    this.refilledAtNs = new AtomicLong(nowNs);
  }

  /** Counts a call. */
  void recordCall() {
    calls.incrementAndGet();
    addMicroTokens(microTokensPerCall);
  }

  /** Acquires a token if one is available. */
  boolean tryAcquire(long nowNs) {
    refill(nowNs);
    while (true) {
      long before = microTokens.get();
      if (before < MICRO_TOKENS_PER_TOKEN) {
        return false;
      }
      if (microTokens.compareAndSet(before, before - MICRO_TOKENS_PER_TOKEN)) {
        checkInvariant(acquired.incrementAndGet(), nowNs);
        return true;
      }
    }
  }

  /** Refunds an unused token. */
  void refund() {
    acquired.decrementAndGet();
    addMicroTokens(MICRO_TOKENS_PER_TOKEN);
  }

  private void refill(long nowNs) {
    if (tokensPerSecond <= 0) {
      return;
    }
    long before = refilledAtNs.get();
    long elapsedMicros = (nowNs - before) / NS_PER_MICROSECOND;
    long earned = (long) (elapsedMicros * tokensPerSecond);
    if (earned > 0 && refilledAtNs.compareAndSet(before, nowNs)) {
      addMicroTokens(earned);
    }
  }

  private void addMicroTokens(long added) {
    microTokens.getAndUpdate(tokens -> Math.min(capacityMicroTokens, tokens + added));
  }

  private void checkInvariant(long acquiredNow, long nowNs) {
    long latestNs = Math.max(nowNs, refilledAtNs.get());
    double seconds = (latestNs - createdAtNs) / NS_PER_SECOND;
    double earnedByCalls = (double) calls.get() * microTokensPerCall / MICRO_TOKENS_PER_TOKEN;
    long allowed =
        (long)
            Math.floor(
                initialTokens + earnedByCalls + seconds * tokensPerSecond + ROUNDING_TOLERANCE);
    monitor.checkAtMost(invariant, subject, acquiredNow, allowed);
  }
}
