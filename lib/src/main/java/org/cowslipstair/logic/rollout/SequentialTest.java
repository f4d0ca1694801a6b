package org.cowslipstair.logic.rollout;

/**
 * Sequential test of whether a new version has more bad outcomes than the others over the same
 * seconds: a cumulative sum of log likelihood ratios (Page's CUSUM) of an excess of {@link
 * #MIN_EXCESS} against none. It starts over at zero, so that a version that turns bad late is found
 * as soon as one that is bad from the start. Not thread-safe.
 */
final class SequentialTest {
  /** Share of further bad outcomes at which a version counts as bad. */
  static final double MIN_EXCESS = 0.25;

  /** Number of outcomes that the expected share is worth before the first outcome. */
  private static final double PRIOR_WEIGHT = 20;

  /** Times after which an outcome of the other versions has lost most of its weight. */
  private static final double[] MEMORIES_MS = {750, 3_000};

  private final double threshold;
  private final double[] judged = new double[MEMORIES_MS.length];
  private final double[] bad = new double[MEMORIES_MS.length];
  private double sum;

  /**
   * Creates a test.
   *
   * @param errorRate probability that a version that is not worse crosses the threshold before the
   *     sum starts over
   */
  SequentialTest(double errorRate) {
    this.threshold = Math.log(1 / errorRate);
  }

  /**
   * Adds outcomes of the other versions.
   *
   * @param elapsedMs time since the last call
   */
  void recordOthers(long newJudged, long newBad, long elapsedMs) {
    for (int i = 0; i < MEMORIES_MS.length; i++) {
      double factor = Math.exp(-elapsedMs / MEMORIES_MS[i]);
      judged[i] = judged[i] * factor + newJudged;
      bad[i] = bad[i] * factor + newBad;
    }
  }

  /**
   * Returns the share of bad outcomes of the other versions, close to the expected one at first.
   * The larger one of a short and a long time counts, since trouble that begins is soon in the
   * short one, and trouble of a few outcomes stays in the long one.
   */
  double othersShare(double expectedShare) {
    double share = 0;
    for (int i = 0; i < MEMORIES_MS.length; i++) {
      share = Math.max(share, (PRIOR_WEIGHT * expectedShare + bad[i]) / (PRIOR_WEIGHT + judged[i]));
    }
    return share;
  }

  /** Adds outcomes of the new version. */
  void recordTarget(long newJudged, long newBad, double othersShare) {
    double badShare = othersShare + (1 - othersShare) * MIN_EXCESS;
    double perBad = Math.log(badShare / othersShare);
    double perGood = Math.log((1 - badShare) / (1 - othersShare));
    sum = Math.max(0, sum + newBad * perBad + (newJudged - newBad) * perGood);
  }

  /** Returns whether the new version is bad. */
  boolean isBad() {
    return sum >= threshold;
  }

  /** Returns how far the sum is, as a share of the threshold. */
  double progress() {
    return sum / threshold;
  }
}
