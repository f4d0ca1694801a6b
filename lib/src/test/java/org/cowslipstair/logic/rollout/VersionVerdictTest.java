package org.cowslipstair.logic.rollout;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Verdicts on seeded traffic: 60 requests per second, 3 of which go to the new version. */
final class VersionVerdictTest {
  private static final int RUNS = 300;
  private static final int TICKS = 60;
  private static final long TICK_MS = 250;
  private static final double USUAL_FAILURES = 0.01;
  private static final double USUAL_SLOW = 0.05;

  private int judgedAtVerdict;

  /** Shares of bad outcomes of one version on one route at one moment. */
  @FunctionalInterface
  private interface Behaviour {
    double badShare(String route, int tick);
  }

  private static Behaviour usual(double share) {
    return (_, _) -> share;
  }

  private static OutcomeCounts draw(Random random, int sends, double failed, double slow) {
    OutcomeCounts counts = OutcomeCounts.none();
    for (int i = 0; i < sends; i++) {
      boolean hasFailed = random.nextDouble() < failed;
      boolean isSlow = !hasFailed && random.nextDouble() < slow;
      counts = counts.plus(new OutcomeCounts(1, 1, hasFailed ? 1 : 0, isSlow ? 1 : 0));
    }
    return counts;
  }

  /** Returns the share of runs in which the new version is found to be bad. */
  private double foundShare(
      Behaviour failures, Behaviour slow, Behaviour failuresOfAll, int targetPerTwoTicks) {
    int found = 0;
    judgedAtVerdict = 0;
    for (int run = 0; run < RUNS; run++) {
      Random random = new Random(run);
      VersionVerdict verdict = new VersionVerdict();
      Map<String, RouteCounts> routes = new HashMap<>();
      for (int tick = 0; tick < TICKS && verdict.finding().isEmpty(); tick++) {
        for (String route : new String[] {"pages", "uploads"}) {
          boolean isRare = route.equals("uploads");
          int toTarget = isRare ? tick % 2 : tick % 2 * targetPerTwoTicks;
          OutcomeCounts target =
              draw(
                  random,
                  toTarget,
                  Math.max(failures.badShare(route, tick), failuresOfAll.badShare(route, tick)),
                  slow.badShare(route, tick));
          OutcomeCounts others =
              draw(random, isRare ? 2 : 12, failuresOfAll.badShare(route, tick), USUAL_SLOW);
          routes.merge(route, new RouteCounts(target, others), RouteCounts::plus);
        }
        verdict.record(routes, TICK_MS);
      }
      if (verdict.finding().isPresent()) {
        found++;
        judgedAtVerdict +=
            (int) routes.values().stream().mapToLong(counts -> counts.target().judged()).sum();
      }
    }
    return (double) found / RUNS;
  }

  private double foundShare(Behaviour failures, Behaviour slow) {
    return foundShare(failures, slow, usual(USUAL_FAILURES), 2);
  }

  @Test
  void goodVersionIsSeldomFoundBad() {
    assertThat(foundShare(usual(USUAL_FAILURES), usual(USUAL_SLOW)), lessThanOrEqualTo(0.05));
  }

  /** Half of the servers of every version fail a part of their requests for some seconds. */
  @Test
  void failuresThatAllVersionsShareDoNotCountAgainstTheNewOne() {
    Behaviour grey = (_, tick) -> tick > 20 && tick < 45 ? 0.25 : USUAL_FAILURES;
    assertThat(foundShare(grey, usual(USUAL_SLOW), grey, 2), lessThanOrEqualTo(0.1));
  }

  @Test
  void versionThatFailsIsFoundAfterAFewAnswers() {
    assertThat(foundShare(usual(0.4), usual(USUAL_SLOW)), greaterThanOrEqualTo(0.99));
    assertThat((double) judgedAtVerdict / RUNS, lessThanOrEqualTo(16.0));
  }

  @Test
  void versionThatIsSlowIsFound() {
    assertThat(foundShare(usual(USUAL_FAILURES), usual(0.5)), greaterThanOrEqualTo(0.99));
  }

  @Test
  void versionThatFailsOnOneRouteOnlyIsFound() {
    Behaviour onOneRoute = (route, _) -> route.equals("pages") ? 0.5 : USUAL_FAILURES;
    assertThat(foundShare(onOneRoute, usual(USUAL_SLOW)), greaterThanOrEqualTo(0.99));
    Behaviour onRareRoute = (route, _) -> route.equals("uploads") ? 0.5 : USUAL_FAILURES;
    assertThat(foundShare(onRareRoute, usual(USUAL_SLOW)), greaterThanOrEqualTo(0.99));
  }

  /** Good for ten of fifteen seconds. */
  @Test
  void versionThatTurnsBadLateIsFound() {
    Behaviour late = (_, tick) -> tick >= 40 ? 0.5 : USUAL_FAILURES;
    assertThat(foundShare(late, usual(USUAL_SLOW)), greaterThanOrEqualTo(0.97));
  }

  /** Bad only while it has load, which it has when its share is widened. */
  @Test
  void versionThatFailsUnderLoadIsFound() {
    Behaviour underLoad = (_, tick) -> tick >= 40 ? 0.4 : USUAL_FAILURES;
    assertThat(
        foundShare(underLoad, usual(USUAL_SLOW), usual(USUAL_FAILURES), 10),
        greaterThanOrEqualTo(0.99));
  }

  @Test
  void repeatedReportsChangeNothing() {
    VersionVerdict verdict = new VersionVerdict();
    Map<String, RouteCounts> once =
        Map.of(
            "pages",
            new RouteCounts(new OutcomeCounts(10, 10, 1, 0), new OutcomeCounts(100, 100, 1, 0)));
    for (int i = 0; i < 20; i++) {
      verdict.record(once, 0);
    }
    assertThat(verdict.finding().isPresent(), is(false));
  }
}
