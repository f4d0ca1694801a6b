package org.cowslipstair.logic.attempt;

import java.util.concurrent.atomic.AtomicReference;

/** Token bucket filled by time; starts full. Safe for use by many threads. */
final class RateCap {
  private static final double NS_PER_SECOND = 1e9;
  private final double tokensPerSecond;
  private final double capacity;
  private final AtomicReference<Fill> fill;

  RateCap(double tokensPerSecond, double capacity, long nowNs) {
    this.tokensPerSecond = tokensPerSecond;
    this.capacity = capacity;
    this.fill = new AtomicReference<>(new Fill(capacity, nowNs));
  }

  boolean tryTake(long nowNs) {
    while (true) {
      Fill before = fill.get();
      double earned = Math.max(0, nowNs - before.atNs()) / NS_PER_SECOND * tokensPerSecond;
      double tokens = Math.min(capacity, before.tokens() + earned);
      if (tokens < 1) {
        return false;
      }
      if (fill.compareAndSet(before, new Fill(tokens - 1, Math.max(nowNs, before.atNs())))) {
        return true;
      }
    }
  }

  private record Fill(double tokens, long atNs) {}
}
