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

  private final double threshold;
  private double sum;
  private double recentJudged;
  private double recentBad;

  /**
   * Creates a test.
   *
   * @param errorRate probability that a version that is not worse crosses the threshold before the
   *     sum starts over
   */
  SequentialTest(double errorRate) {
    this.threshold = Math.log(1 / errorRate);
  }

  /** Reduces the weight of earlier outcomes of the other versions. */
  void age(double factor) {
    recentJudged *= factor;
    recentBad *= factor;
  }

  /** Adds outcomes of the other versions. */
  void recordOthers(long judged, long bad) {
    recentJudged += judged;
    recentBad += bad;
  }

  /**
   * Returns the share of bad outcomes of the other versions, close to the expected one at first.
   */
  double othersShare(double expectedShare) {
    return (PRIOR_WEIGHT * expectedShare + recentBad) / (PRIOR_WEIGHT + recentJudged);
  }

  /** Adds outcomes of the new version. */
  void recordTarget(long judged, long bad, double othersShare) {
    double badShare = othersShare + (1 - othersShare) * MIN_EXCESS;
    double perBad = Math.log(badShare / othersShare);
    double perGood = Math.log((1 - badShare) / (1 - othersShare));
    sum = Math.max(0, sum + bad * perBad + (judged - bad) * perGood);
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
