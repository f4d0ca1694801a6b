package org.cowslipstair.logic.call;

import java.util.Arrays;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLongArray;
import org.cowslipstair.model.config.ServiceName;
import org.cowslipstair.model.pool.PoolId;
import org.jspecify.annotations.Nullable;

/**
 * Measures how long the backend servers of each pool and service take, so that hedges wait for the
 * 95th percentile. Safe for use by many threads.
 */
final class HedgeDelays {
  private static final double QUANTILE = 0.95;
  private static final int WINDOW = 256;
  private static final long UNKNOWN_NS = -1;
  private static final int MIN_SAMPLES = 40;
  private static final int SAMPLES_PER_REFRESH = 16;
  private final Map<PoolId, Window> pools = new ConcurrentHashMap<>();
  private final Map<ServiceName, Window> services = new ConcurrentHashMap<>();
  private final long minDelayNs;

  HedgeDelays(long minDelayNs) {
    this.minDelayNs = minDelayNs;
  }

  void add(PoolId pool, long timeNs) {
    pools.computeIfAbsent(pool, _ -> new Window()).add(timeNs);
    services.computeIfAbsent(pool.service(), _ -> new Window()).add(timeNs);
  }

  /**
   * Returns how long to wait before a hedge; empty while there are too few samples. A pool with few
   * samples, such as one that calls spill to, takes the delay of its whole service.
   */
  OptionalLong delayNs(PoolId pool) {
    long quantileNs = quantileNs(pools.get(pool));
    if (quantileNs < 0) {
      quantileNs = quantileNs(services.get(pool.service()));
    }
    if (quantileNs < 0) {
      return OptionalLong.empty();
    }
    return OptionalLong.of(Math.max(minDelayNs, quantileNs));
  }

  private static long quantileNs(@Nullable Window window) {
    return window == null ? UNKNOWN_NS : window.quantileNs;
  }

  private static final class Window {
    private final AtomicLongArray samples = new AtomicLongArray(WINDOW);
    private final AtomicInteger added = new AtomicInteger();
    private volatile long quantileNs = UNKNOWN_NS;

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
