package org.cowslipstair.standins.backend;

import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/** Draws the periods of noise of one host as time goes on. Driven under the model's lock. */
final class SlowDown {
  private final RandomGenerator random;
  private Noise noise = Noise.none();
  private long periodStartNs;
  private long periodEndNs;

  SlowDown(RandomGenerator random) {
    this.random = random;
  }

  /** Returns how many times longer work takes at a time; times must not fall. */
  double factorAt(Noise current, long nowNs) {
    if (current.everyMs() <= 0) {
      noise = current;
      return 1;
    }
    if (!current.equals(noise)) {
      noise = current;
      periodEndNs = nowNs;
      drawNext();
    }
    while (nowNs - periodEndNs >= 0) {
      drawNext();
    }
    return nowNs - periodStartNs >= 0 ? noise.factor() : 1;
  }

  private void drawNext() {
    long quietMs = Math.max(1, noise.everyMs() - noise.forMs());
    periodStartNs = periodEndNs + drawNs(quietMs);
    periodEndNs = periodStartNs + Math.max(1, drawNs(noise.forMs()));
  }

  private long drawNs(long meanMs) {
    return Math.round(random.nextExponential() * TimeUnit.MILLISECONDS.toNanos(meanMs));
  }
}
