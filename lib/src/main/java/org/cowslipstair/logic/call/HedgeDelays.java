package org.cowslipstair.logic.call;

import java.util.Arrays;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLongArray;
import org.cowslipstair.model.pool.PoolId;

/**
 * Measures how long the backend servers of each pool take, so that hedges wait for the 95th
 * percentile. Safe for use by many threads.
 */
final class HedgeDelays {
  private static final double QUANTILE = 0.95;
  private static final int WINDOW = 256;
  private static final int MIN_SAMPLES = 40;
  private static final int SAMPLES_PER_REFRESH = 16;
  private final Map<PoolId, Window> windows = new ConcurrentHashMap<>();
  private final long minDelayNs;

  HedgeDelays(long minDelayNs) {
    this.minDelayNs = minDelayNs;
  }

  void add(PoolId pool, long timeNs) {
    windows.computeIfAbsent(pool, _ -> new Window()).add(timeNs);
  }

  /** Returns how long to wait before a hedge; empty while there are too few samples. */
  OptionalLong delayNs(PoolId pool) {
    Window window = windows.get(pool);
    if (window == null || window.quantileNs < 0) {
      return OptionalLong.empty();
    }
    return OptionalLong.of(Math.max(minDelayNs, window.quantileNs));
  }

  private static final class Window {
    private final AtomicLongArray samples = new AtomicLongArray(WINDOW);
    private final AtomicInteger added = new AtomicInteger();
    private volatile long quantileNs = -1;

    void add(long timeNs) {
      int number = added.getAndIncrement();
      samples.set(Math.floorMod(number, WINDOW), timeNs);
      int count = number < 0 ? WINDOW : Math.min(number + 1, WINDOW);
      if (count >= MIN_SAMPLES && number % SAMPLES_PER_REFRESH == 0) {
        refresh(count);
      }
    }

    private void refresh(int count) {
      long[] sorted = new long[count];
      for (int i = 0; i < count; i++) {
        sorted[i] = samples.get(i);
      }
      Arrays.sort(sorted);
      quantileNs = sorted[(int) (QUANTILE * count)];
    }
  }
}
