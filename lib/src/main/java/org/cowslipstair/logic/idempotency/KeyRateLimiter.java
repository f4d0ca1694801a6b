package org.cowslipstair.logic.idempotency;

import java.util.concurrent.atomic.AtomicReference;

/** Token bucket that is refilled at a constant rate and starts full. Thread-safe. */
final class KeyRateLimiter {
  private static final double NS_PER_SECOND = 1e9;
  private final double tokensPerSecond;
  private final double capacity;
  private final AtomicReference<BucketState> state;

  KeyRateLimiter(double tokensPerSecond, double capacity, long nowNs) {
    this.tokensPerSecond = tokensPerSecond;
    this.capacity = capacity;
    this.state = new AtomicReference<>(new BucketState(capacity, nowNs));
  }

  boolean tryAcquire(long nowNs) {
    while (true) {
      BucketState before = state.get();
      double earned = Math.max(0, nowNs - before.atNs()) / NS_PER_SECOND * tokensPerSecond;
      double tokens = Math.min(capacity, before.tokens() + earned);
      if (tokens < 1) {
        return false;
      }
      if (state.compareAndSet(
          before, new BucketState(tokens - 1, Math.max(nowNs, before.atNs())))) {
        return true;
      }
    }
  }

  private record BucketState(double tokens, long atNs) {}
}
