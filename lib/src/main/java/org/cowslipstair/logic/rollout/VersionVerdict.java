package org.cowslipstair.logic.rollout;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Judges a new version by the outcomes of its sends beside those of the other versions over the
 * same seconds, so that what troubles both does not count against it. Failures and slow answers are
 * tested apart, for each route and for all together. Not thread-safe.
 */
public final class VersionVerdict {
  /** Probability of a wrong verdict in each test, see {@link SequentialTest}. */
  private static final double FAILURE_ERROR_RATE = 0.001;

  private static final double SLOW_ERROR_RATE = 0.000_2;

  /** Share of bad outcomes expected of a version of which nothing is known. */
  private static final double EXPECTED_FAILURES = 0.01;

  private static final double EXPECTED_SLOW = 0.03;

  private static final String ALL_ROUTES = "";

  private final Map<String, Tests> tests = new HashMap<>();
  private Map<String, RouteCounts> previous = Map.of();
  private Optional<Finding> finding = Optional.empty();

  /**
   * Why a version is bad.
   *
   * @param route route on which it is; empty if only all routes together show it
   * @param counts outcomes on that route so far
   */
  public record Finding(String route, Symptom symptom, RouteCounts counts) {}

  /** What is wrong with a version. */
  public enum Symptom {
    FAILURES,
    SLOW_ANSWERS
  }

  private record Tests(SequentialTest failures, SequentialTest slow) {
    Tests() {
      this(new SequentialTest(FAILURE_ERROR_RATE), new SequentialTest(SLOW_ERROR_RATE));
    }

    void recordOthers(OutcomeCounts others, long elapsedMs) {
      failures.recordOthers(others.judged(), others.failed(), elapsedMs);
      slow.recordOthers(others.judged() - others.failed(), others.slow(), elapsedMs);
    }
  }

  /**
   * Adds what was counted since the last call.
   *
   * @param routes outcomes by route since the order
   * @param elapsedMs time since the last call
   */
  public void record(Map<String, RouteCounts> routes, long elapsedMs) {
    Map<String, RouteCounts> withSum = new HashMap<>(routes);
    withSum.put(ALL_ROUTES, routes.values().stream().reduce(RouteCounts.none(), RouteCounts::plus));
    withSum.forEach(
        (route, counts) ->
            testsOf(route).recordOthers(increment(route, counts).others(), elapsedMs));
    Tests all = testsOf(ALL_ROUTES);
    double failureShare = all.failures.othersShare(EXPECTED_FAILURES);
    double slowShare = all.slow.othersShare(EXPECTED_SLOW);
    withSum.forEach((route, counts) -> judge(route, counts, failureShare, slowShare));
    previous = withSum;
  }

  private Tests testsOf(String route) {
    return tests.computeIfAbsent(route, _ -> new Tests());
  }

  private RouteCounts increment(String route, RouteCounts counts) {
    return counts.since(previous.getOrDefault(route, RouteCounts.none()));
  }

  private void judge(String route, RouteCounts counts, double failureShare, double slowShare) {
    OutcomeCounts target = increment(route, counts).target();
    Tests own = testsOf(route);
    double failuresOfOthers = Math.max(failureShare, own.failures.othersShare(failureShare));
    own.failures.recordTarget(target.judged(), target.failed(), failuresOfOthers);
    double slowOfOthers = Math.max(slowShare, own.slow.othersShare(slowShare));
    own.slow.recordTarget(target.judged() - target.failed(), target.slow(), slowOfOthers);
    if (finding.isPresent()) {
      return;
    }
    if (own.failures.isBad()) {
      finding = Optional.of(new Finding(route, Symptom.FAILURES, counts));
    } else if (own.slow.isBad()) {
      finding = Optional.of(new Finding(route, Symptom.SLOW_ANSWERS, counts));
    }
  }

  /** Returns why the version is bad; empty if it has not been found to be. */
  public Optional<Finding> finding() {
    return finding;
  }

  /** Returns whether a test is near its verdict, so that the version should not get more sends. */
  public boolean isSuspicious() {
    return tests.values().stream()
        .anyMatch(t -> t.failures.progress() > 0.5 || t.slow.progress() > 0.5);
  }
}
