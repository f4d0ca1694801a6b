package org.cowslipstair.logic.rollout;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.cowslipstair.model.rollout.RolloutPolicy;
import org.cowslipstair.model.rollout.RolloutStatus;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Whole rollouts without a network: what the decider tells decides what the next sends do. */
final class RolloutDeciderTest {
  private static final RolloutPolicy POLICY = new RolloutPolicy(0.1, 50, 5_000);
  private static final long DURATION_MS = 15_000;
  private static final long TICK_MS = 250;
  private static final long LAG_MS = 500;

  private final Random random = new Random(3);
  private RolloutDecider decider = new RolloutDecider(POLICY, DURATION_MS, 0);
  private RouteCounts counts = RouteCounts.none();
  private Optional<RolloutStatus.State> recorded = Optional.empty();
  private long ageMs;
  private long requestsPerSecond = 60;
  private boolean isStoreAway;
  private boolean isDrained = true;
  private boolean hasTarget = true;
  private boolean hasMajority = true;

  /** Share of failures of the new version at a time and a share of the sends. */
  @FunctionalInterface
  private interface Badness {
    double at(long ageMs, double share);
  }

  private static double shareOf(Directive directive) {
    return switch (directive) {
      case Directive.Share(double share) -> share;
      case Directive.OnlyTarget _ -> 1;
      case Directive.OnlyOthers _ -> 0;
    };
  }

  private List<RolloutDecider.Action> tick(Badness badness) {
    double share = shareOf(decider.directive());
    long sends = requestsPerSecond * TICK_MS / 1_000;
    for (int i = 0; i < sends; i++) {
      boolean toTarget = random.nextDouble() < share;
      double failureShare = toTarget ? badness.at(ageMs, share) : 0.005;
      int failed = random.nextDouble() < failureShare ? 1 : 0;
      OutcomeCounts one = new OutcomeCounts(1, 1, failed, 0);
      OutcomeCounts none = OutcomeCounts.none();
      counts = counts.plus(toTarget ? new RouteCounts(one, none) : new RouteCounts(none, one));
    }
    ageMs += TICK_MS;
    List<RolloutDecider.Action> actions =
        decider.step(
            new RolloutDecider.Input(
                ageMs * 1_000_000,
                ageMs,
                LAG_MS,
                hasTarget,
                hasMajority,
                isDrained,
                Map.of("pages", counts),
                recorded));
    for (RolloutDecider.Action action : actions) {
      if (action instanceof RolloutDecider.Action.Record(var state) && !isStoreAway) {
        recorded = Optional.of(state);
      }
    }
    return actions;
  }

  private void run(long untilMs, Badness badness) {
    while (ageMs < untilMs && recorded.filter(RolloutStatus.State::isFinal).isEmpty()) {
      tick(badness);
    }
  }

  private static Badness good() {
    return (_, _) -> 0.005;
  }

  private void assertWithinBudget() {
    // What reaches the service after the rollback counts too, but is not needed for the bound.
    double allowed = POLICY.canaryShare() * counts.sent() + POLICY.canarySlackRequests();
    assertThat((double) counts.target().sent(), lessThanOrEqualTo(allowed));
  }

  @ParameterizedTest
  @ValueSource(longs = {8, 60, 400, 2_000})
  void goodVersionIsDoneInTime(long perSecond) {
    requestsPerSecond = perSecond;
    run(DURATION_MS, good());
    assertThat(recorded, equalTo(Optional.of(RolloutStatus.State.DONE)));
    assertThat(ageMs, lessThan(DURATION_MS));
  }

  @ParameterizedTest
  @ValueSource(longs = {8, 60, 400, 2_000})
  void badVersionIsRolledBackWithinItsBudget(long perSecond) {
    requestsPerSecond = perSecond;
    run(DURATION_MS, (_, _) -> 0.4);
    assertThat(recorded, equalTo(Optional.of(RolloutStatus.State.ROLLED_BACK)));
    assertWithinBudget();
  }

  @Test
  void versionThatTurnsBadLateIsRolledBackWithinItsBudget() {
    run(DURATION_MS, (age, _) -> age > 8_000 ? 0.4 : 0.005);
    assertThat(recorded, equalTo(Optional.of(RolloutStatus.State.ROLLED_BACK)));
    assertWithinBudget();
  }

  /** Fails only with more than the share that it gets first. */
  @ParameterizedTest
  @ValueSource(longs = {60, 400, 2_000})
  void versionThatFailsUnderLoadIsRolledBackWithinItsBudget(long perSecond) {
    requestsPerSecond = perSecond;
    run(DURATION_MS, (_, share) -> share > 0.15 ? 0.5 : 0.005);
    assertThat(recorded, equalTo(Optional.of(RolloutStatus.State.ROLLED_BACK)));
    assertWithinBudget();
  }

  @Test
  void wideSharesComeLate() {
    double widest = 0;
    while (ageMs < DURATION_MS / 2) {
      tick(good());
      widest = Math.max(widest, shareOf(decider.directive()));
    }
    assertThat(widest, lessThan(POLICY.canaryShare()));
  }

  /** The first requests come some time after the order; their rate says nothing yet. */
  @Test
  void firstRequestsDoNotWidenTheShare() {
    requestsPerSecond = 0;
    run(500, good());
    requestsPerSecond = 400;
    while (ageMs < 2_000) {
      tick(good());
      assertThat(shareOf(decider.directive()), lessThan(POLICY.canaryShare()));
    }
  }

  @Test
  void findingIsToldToAllGatewaysAtOnce() {
    List<RolloutDecider.Action> actions = List.of();
    while (!(decider.state() instanceof RolloutDecider.State.Ended)) {
      actions = tick((_, _) -> 0.9);
    }
    assertThat(actions, hasItem(new RolloutDecider.Action.TellAll(new Directive.OnlyOthers())));
    assertThat(actions, hasItem(new RolloutDecider.Action.Record(RolloutStatus.State.ROLLED_BACK)));
  }

  @Test
  void doneWaitsForTheRequestsOnOtherVersions() {
    isDrained = false;
    while (!(decider.state() instanceof RolloutDecider.State.Committing)) {
      tick(good());
    }
    long committedMs = ageMs;
    tick(good());
    assertThat(decider.state(), instanceOf(RolloutDecider.State.Committing.class));
    isDrained = true;
    tick(good());
    assertThat(ageMs - committedMs, is(2 * TICK_MS));
    assertThat(recorded, equalTo(Optional.of(RolloutStatus.State.DONE)));
  }

  @Test
  void requestsThatDoNotEndDoNotKeepTheRolloutFromEndingInTime() {
    isDrained = false;
    run(DURATION_MS, good());
    assertThat(recorded, equalTo(Optional.of(RolloutStatus.State.DONE)));
  }

  /** A gateway that is cut off with a few others decides nothing that costs more than its share. */
  @Test
  void withoutAMajorityTheShareStaysAndNothingIsDone() {
    hasMajority = false;
    while (ageMs < DURATION_MS - TICK_MS) {
      tick(good());
      assertThat(shareOf(decider.directive()), lessThan(POLICY.canaryShare()));
    }
    assertThat(recorded, equalTo(Optional.of(RolloutStatus.State.RUNNING)));
  }

  @Test
  void findingNeedsNoMajority() {
    hasMajority = false;
    run(DURATION_MS / 2, (_, _) -> 0.5);
    assertThat(recorded, equalTo(Optional.of(RolloutStatus.State.ROLLED_BACK)));
  }

  @Test
  void versionThatNoServerRunsIsRolledBackAtTheEnd() {
    hasTarget = false;
    run(DURATION_MS - TICK_MS, good());
    assertThat(decider.directive(), equalTo(new Directive.Share(0)));
    run(DURATION_MS + TICK_MS, good());
    assertThat(recorded, equalTo(Optional.of(RolloutStatus.State.ROLLED_BACK)));
  }

  @Test
  void versionThatWasNotJudgedInTimeIsRolledBack() {
    requestsPerSecond = 0;
    run(DURATION_MS + TICK_MS, good());
    assertThat(recorded, equalTo(Optional.of(RolloutStatus.State.ROLLED_BACK)));
  }

  /** The store is away at the end of the time; what was decided is recorded when it is back. */
  @Test
  void endIsRecordedWhenTheStoreIsBack() {
    isStoreAway = true;
    run(DURATION_MS + 3_000, good());
    assertThat(recorded, equalTo(Optional.empty()));
    assertThat(decider.directive(), equalTo(new Directive.OnlyTarget()));
    isStoreAway = false;
    tick(good());
    assertThat(recorded, equalTo(Optional.of(RolloutStatus.State.DONE)));
  }

  @Test
  void versionThatTurnsBadBeforeItsEndIsRecordedIsRolledBack() {
    isStoreAway = true;
    run(DURATION_MS, good());
    isStoreAway = false;
    while (!decider.directive().equals(new Directive.OnlyOthers())) {
      isStoreAway = true;
      tick((_, _) -> 0.5);
    }
    isStoreAway = false;
    tick(good());
    assertThat(recorded, equalTo(Optional.of(RolloutStatus.State.ROLLED_BACK)));
  }

  /** The successor starts from the counts and the time that gateways report. */
  @Test
  void successorGoesOnFromWhatTheGatewaysReport() {
    run(10_000, good());
    long before = counts.target().sent();
    decider = new RolloutDecider(POLICY, DURATION_MS, ageMs * 1_000_000);
    tick(good());
    assertThat(shareOf(decider.directive()), greaterThan(POLICY.canaryShare()));
    run(DURATION_MS, good());
    assertThat(recorded, equalTo(Optional.of(RolloutStatus.State.DONE)));
    assertThat(counts.target().sent(), greaterThan(before));
  }

  @Test
  void successorFindsWhatItsPredecessorHasNotRecorded() {
    counts = new RouteCounts(new OutcomeCounts(60, 60, 25, 0), new OutcomeCounts(900, 900, 4, 0));
    ageMs = 9_000;
    decider = new RolloutDecider(POLICY, DURATION_MS, ageMs * 1_000_000);
    tick(good());
    assertThat(recorded, equalTo(Optional.of(RolloutStatus.State.ROLLED_BACK)));
  }

  /** Two gateways decide for a moment: what the other one recorded is in force. */
  @Test
  void endRecordedByAnotherDeciderIsInForce() {
    run(3_000, good());
    recorded = Optional.of(RolloutStatus.State.ROLLED_BACK);
    List<RolloutDecider.Action> actions = tick(good());
    assertThat(decider.directive(), equalTo(new Directive.OnlyOthers()));
    assertThat(
        actions.stream().filter(RolloutDecider.Action.Record.class::isInstance).toList(),
        equalTo(List.of()));
  }

  @Test
  void runningIsRecordedOnce() {
    assertThat(
        tick(good()).stream().filter(RolloutDecider.Action.Record.class::isInstance).toList(),
        contains(new RolloutDecider.Action.Record(RolloutStatus.State.RUNNING)));
    assertThat(
        tick(good()).stream().filter(RolloutDecider.Action.Record.class::isInstance).toList(),
        equalTo(List.of()));
  }
}
