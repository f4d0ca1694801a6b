package org.cowslipstair.logic.backend;

import java.util.Arrays;
import java.util.OptionalLong;

/** Estimates a quantile of the most recent samples. Not thread-safe. */
public final class RecentQuantile {
  private static final int SAMPLES_PER_REFRESH = 16;
  private final double quantile;
  private final long[] samples;
  private final int minSamples;
  private int count;
  private int nextIndex;
  private int samplesSinceRefresh;
  private long estimate;

  /**
   * Creates an estimator.
   *
   * @param windowSize number of most recent samples used
   * @param minSamples minimum number of samples for an estimate
   */
  public RecentQuantile(double quantile, int windowSize, int minSamples) {
    this.quantile = quantile;
    this.samples = new long[windowSize];
    this.minSamples = minSamples;
  }

  /** Adds a sample. */
  public void add(long sample) {
    samples[nextIndex] = sample;
    nextIndex = (nextIndex + 1) % samples.length;
    count = Math.min(count + 1, samples.length);
    samplesSinceRefresh++;
    if (samplesSinceRefresh >= SAMPLES_PER_REFRESH || count == minSamples) {
      refresh();
    }
  }

  /** Returns the estimate; empty until there are enough samples. */
  public OptionalLong estimate() {
    return count < minSamples ? OptionalLong.empty() : OptionalLong.of(estimate);
  }

  private void refresh() {
    long[] sorted = Arrays.copyOf(samples, count);
    Arrays.sort(sorted);
    estimate = sorted[(int) Math.min(count - 1L, (long) (quantile * count))];
    samplesSinceRefresh = 0;
  }
}
