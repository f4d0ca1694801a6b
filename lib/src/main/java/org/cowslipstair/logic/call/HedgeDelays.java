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
 * Records the response times of each pool and service. The hedge delay is their 95th percentile.
 * Thread-safe.
 */
final class HedgeDelays {
  private static final double QUANTILE = 0.95;
  private static final int WINDOW_SAMPLES = 256;
  private static final long UNKNOWN_NS = -1;
  private static final int MIN_SAMPLES = 40;
  private static final int SAMPLES_PER_REFRESH = 16;
  private final Map<PoolId, Window> pools = new ConcurrentHashMap<>();
  private final Map<ServiceName, Window> services = new ConcurrentHashMap<>();
  private final long minDelayNs;

  HedgeDelays(long minDelayNs) {
    this.minDelayNs = minDelayNs;
  }

  void record(PoolId pool, long responseTimeNs) {
    pools.computeIfAbsent(pool, _ -> new Window()).record(responseTimeNs);
    services.computeIfAbsent(pool.service(), _ -> new Window()).record(responseTimeNs);
  }

  /**
   * Returns the delay before a hedge; empty while there are too few samples. A pool with few
   * samples, such as one that only receives spilled calls, uses the delay of its whole service.
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
    private final AtomicLongArray samples = new AtomicLongArray(WINDOW_SAMPLES);
    private final AtomicInteger recordedCount = new AtomicInteger();
    private volatile long quantileNs = UNKNOWN_NS;

    void record(long responseTimeNs) {
      int index = recordedCount.getAndIncrement();
      samples.set(Math.floorMod(index, WINDOW_SAMPLES), responseTimeNs);
      int count = index < 0 ? WINDOW_SAMPLES : Math.min(index + 1, WINDOW_SAMPLES);
      if (count >= MIN_SAMPLES && index % SAMPLES_PER_REFRESH == 0) {
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
