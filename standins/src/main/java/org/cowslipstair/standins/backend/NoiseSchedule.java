package org.cowslipstair.standins.backend;

import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/** Draws the noise periods of one host. Not thread-safe; called under the lock of the model. */
final class NoiseSchedule {
  private final RandomGenerator random;
  private Noise noise = Noise.none();
  private long periodStartNs;
  private long periodEndNs;

  NoiseSchedule(RandomGenerator random) {
    this.random = random;
  }

  /** Returns the slow-down factor at a time; times must not decrease between calls. */
  double factorAt(Noise current, long nowNs) {
    if (current.everyMs() <= 0) {
      noise = current;
      return 1;
    }
    if (!current.equals(noise)) {
      noise = current;
      periodEndNs = nowNs;
      drawNextPeriod();
    }
    while (nowNs - periodEndNs >= 0) {
      drawNextPeriod();
    }
    return nowNs - periodStartNs >= 0 ? noise.factor() : 1;
  }

  private void drawNextPeriod() {
    long quietMs = Math.max(1, noise.everyMs() - noise.forMs());
    periodStartNs = periodEndNs + drawDurationNs(quietMs);
    periodEndNs = periodStartNs + Math.max(1, drawDurationNs(noise.forMs()));
  }

  private long drawDurationNs(long meanMs) {
    return Math.round(random.nextExponential() * TimeUnit.MILLISECONDS.toNanos(meanMs));
  }
}
