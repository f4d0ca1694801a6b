package org.cowslipstair.logic.backend;

import java.util.Arrays;
import java.util.OptionalLong;

/** Quantile of the most recent samples; not thread-safe. */
public final class RecentQuantile {
  private static final int SAMPLES_PER_REFRESH = 16;
  private final double quantile;
  private final long[] samples;
  private final int minSamples;
  private int count;
  private int next;
  private int sinceRefresh;
  private long value;

  /**
   * Creates an estimator.
   *
   * @param windowSize number of samples that are kept
   * @param minSamples number of samples below which there is no estimate
   */
  public RecentQuantile(double quantile, int windowSize, int minSamples) {
    this.quantile = quantile;
    this.samples = new long[windowSize];
    this.minSamples = minSamples;
  }

  /** Adds a sample. */
  public void add(long sample) {
    samples[next] = sample;
    next = (next + 1) % samples.length;
    count = Math.min(count + 1, samples.length);
    sinceRefresh++;
    if (sinceRefresh >= SAMPLES_PER_REFRESH || count == minSamples) {
      refresh();
    }
  }

  /** Returns the estimate, once there are enough samples. */
  public OptionalLong value() {
    return count < minSamples ? OptionalLong.empty() : OptionalLong.of(value);
  }

  private void refresh() {
    long[] sorted = Arrays.copyOf(samples, count);
    Arrays.sort(sorted);
    value = sorted[(int) Math.min(count - 1L, (long) (quantile * count))];
    sinceRefresh = 0;
  }
}
