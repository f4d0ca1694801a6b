package org.cowslipstair.logic.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.not;

import java.util.List;
import java.util.Optional;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.cowslipstair.logic.placement.PlacementRule.Option;
import org.cowslipstair.logic.placement.PlacementRule.Prospect;
import org.cowslipstair.logic.placement.PlacementRule.Remaining;
import org.cowslipstair.logic.placement.PlacementRule.Step;
import org.cowslipstair.logic.placement.PlacementRule.Waiting;
import org.junit.jupiter.api.Test;

/** Where work goes: to the own zone, unless another zone makes the difference. */
final class PlacementRuleTest {
  private static final double SERVICE_TIME_NS = 60e6;
  private static final long TARGET_NS = 200_000_000L;
  private static final long SELECTION_END_NS = 25_000_000L;
  private static final long DEADLINE_NS = 1_200_000_000L;
  private static final long LATEST_START_NS = TARGET_NS - (long) SERVICE_TIME_NS;
  private static final LatencyEstimate IDLE = new LatencyEstimate(1, 0, 1, true, true);
  private static final LatencyEstimate SLOW = new LatencyEstimate(6, 0, 1, true, true);
  private static final LatencyEstimate QUEUED = new LatencyEstimate(1.5, 1, 1, false, true);
  private static final LatencyEstimate FULL = new LatencyEstimate(1, 2, 1, false, false);
  private static final Remaining ALL = new Remaining(true, true, false);
  private static final Remaining OTHER_ZONES = new Remaining(false, true, false);
  private static final Remaining PENDING = new Remaining(false, false, true);
  private static final Remaining NOTHING = new Remaining(false, false, false);

  private static PlacementRule rule(boolean isHedge) {
    return rule(isHedge, Waiting.NONE);
  }

  private static PlacementRule rule(boolean isHedge, Waiting waiting) {
    return new PlacementRule(
        SERVICE_TIME_NS, TARGET_NS, SELECTION_END_NS, DEADLINE_NS, isHedge, waiting);
  }

  private static Option local(LatencyEstimate estimate) {
    return new Option(estimate, true);
  }

  private static Option other(LatencyEstimate estimate) {
    return new Option(estimate, false);
  }

  private static Step next(Option best, Remaining remaining) {
    return rule(false).next(Optional.of(best), remaining, 0);
  }

  @Provide
  Arbitrary<LatencyEstimate> estimates() {
    return Combinators.combine(
            Arbitraries.doubles().between(0.2, 30),
            Arbitraries.doubles().between(0, 30),
            Arbitraries.doubles().between(1, 35),
            Arbitraries.of(true, false),
            Arbitraries.of(true, false))
        .as(LatencyEstimate::new);
  }

  @Property(seed = "6101", tries = 2_000)
  void otherZoneIsPreferredOnlyIfItMakesTheDifference(
      @ForAll("estimates") LatencyEstimate near,
      @ForAll("estimates") LatencyEstimate far,
      @ForAll boolean isHedge) {
    PlacementRule rule = rule(isHedge);
    if (rule.isBetter(other(far), local(near), 0)) {
      List<Prospect> staying =
          isHedge
              ? List.of(Prospect.IN_TIME, Prospect.SPARED, Prospect.LATE)
              : List.of(Prospect.IN_TIME);
      assertThat(staying.contains(rule.prospect(near, 0)), is(false));
      assertThat(rule.prospect(far, 0), lessThan(rule.prospect(near, 0)));
      Step next = rule.next(Optional.of(local(near)), OTHER_ZONES, 0);
      assertThat(next, is(Step.PROBE_OTHER_ZONES));
    }
  }

  @Property(seed = "6102", tries = 2_000)
  void otherZoneIsPreferredIfOnlyItIsInTime(
      @ForAll("estimates") LatencyEstimate near, @ForAll("estimates") LatencyEstimate far) {
    PlacementRule rule = rule(false);
    boolean isOnlyFarInTime =
        rule.prospect(far, 0) == Prospect.IN_TIME && rule.prospect(near, 0) != Prospect.IN_TIME;
    if (isOnlyFarInTime) {
      assertThat(rule.isBetter(other(far), local(near), 0), is(true));
    }
  }

  @Property(seed = "6103", tries = 2_000)
  void preferenceIsAsymmetric(
      @ForAll("estimates") LatencyEstimate first,
      @ForAll("estimates") LatencyEstimate second,
      @ForAll boolean isFirstLocal,
      @ForAll boolean isSecondLocal,
      @ForAll boolean isHedge) {
    Option firstOption = new Option(first, isFirstLocal);
    Option secondOption = new Option(second, isSecondLocal);
    PlacementRule rule = rule(isHedge);
    boolean isFirstBetter = rule.isBetter(firstOption, secondOption, 0);
    assertThat(isFirstBetter && rule.isBetter(secondOption, firstOption, 0), is(false));
  }

  /** No policy waits past its bounds, and what has no room is refused. */
  @Property(seed = "6104", tries = 2_000)
  void selectionEndsAtItsBounds(
      @ForAll("estimates") LatencyEstimate estimate,
      @ForAll boolean isLocal,
      @ForAll boolean isHedge) {
    Optional<Option> best = Optional.of(new Option(estimate, isLocal));
    Remaining everything = new Remaining(true, true, true);
    Step next = rule(isHedge).next(best, everything, SELECTION_END_NS);
    assertThat(next == Step.SELECT || next == Step.REFUSE_NO_ROOM, is(true));
    if (rule(isHedge).prospect(estimate, SELECTION_END_NS) == Prospect.NO_ROOM) {
      assertThat(next, is(Step.REFUSE_NO_ROOM));
    }
    assertThat(
        rule(isHedge).next(Optional.empty(), everything, LATEST_START_NS),
        is(Step.REFUSE_UNREACHABLE));
  }

  /** A quarter of the servers of Vaikom's zones is seven times slower for half a second. */
  @Test
  void slowServersOfTheOwnZoneSendRequestsAwayButNotHedges() {
    assertThat(rule(false).isBetter(other(IDLE), local(SLOW), 0), is(true));
    assertThat(rule(true).isBetter(other(IDLE), local(SLOW), 0), is(false));
    assertThat(next(local(SLOW), OTHER_ZONES), is(Step.PROBE_OTHER_ZONES));
    assertThat(rule(true).next(Optional.of(local(SLOW)), OTHER_ZONES, 0), is(Step.REFUSE_NO_ROOM));
  }

  @Test
  void wholeOwnZoneIsProbedBeforeOthers() {
    assertThat(next(local(SLOW), ALL), is(Step.PROBE_LOCAL));
    assertThat(next(local(QUEUED), ALL), is(Step.PROBE_LOCAL));
    assertThat(next(local(IDLE), ALL), is(Step.SELECT));
  }

  /** A burst on a warm fleet: the own zone has only queues that could turn out too long. */
  @Test
  void requestLeavesForAFreeSlotRatherThanAnUncertainQueue() {
    assertThat(rule(false).prospect(QUEUED, 0), is(not(Prospect.IN_TIME)));
    assertThat(rule(false).isBetter(other(IDLE), local(QUEUED), 0), is(true));
  }

  /** A burst beyond the capacity: queues grow until nobody is in time any more. */
  @Test
  void requestThatWouldQueueAndBeLateIsRefused() {
    assertThat(rule(false).prospect(QUEUED, 0), is(Prospect.LATE));
    assertThat(next(local(QUEUED), NOTHING), is(Step.REFUSE_NO_ROOM));
  }

  /** A burst beside slow servers: a slow slot is held for several times the usual work. */
  @Test
  void slowFreeSlotIsLeftAloneWhileEvenAQueueIsShorter() {
    assertThat(rule(false).isBetter(local(QUEUED), local(SLOW), 0), is(true));
    assertThat(next(local(QUEUED), NOTHING), is(Step.REFUSE_NO_ROOM));
    assertThat(next(local(SLOW), NOTHING), is(Step.SELECT));
  }

  /** A burst of long reads: all free slots would make the request late, but it has time. */
  @Test
  void requestWaitsWhileItCanBeInTime() {
    PlacementRule waiting = rule(false, Waiting.WHILE_IN_TIME);
    Optional<Option> full = Optional.of(local(FULL));
    Optional<Option> slow = Optional.of(local(SLOW));
    assertThat(waiting.next(full, NOTHING, 0), is(Step.WAIT));
    assertThat(waiting.next(slow, NOTHING, 0), is(Step.WAIT));
    assertThat(waiting.next(Optional.empty(), NOTHING, 0), is(Step.REFUSE_UNREACHABLE));
    assertThat(waiting.next(full, NOTHING, waiting.latestStartNs()), is(Step.REFUSE_NO_ROOM));
    assertThat(waiting.next(slow, NOTHING, waiting.latestStartNs()), is(Step.SELECT));
    PlacementRule hedge = rule(true, Waiting.WHILE_IN_TIME);
    assertThat(hedge.next(full, NOTHING, 0), is(Step.REFUSE_NO_ROOM));
  }

  /** A burst of long reads beside short urgent uploads: the reads can bear a delay. */
  @Test
  void patientRequestLeavesTheLastSlotOfABackendToOthers() {
    LatencyEstimate lastSlot = new LatencyEstimate(1.5, 0, 1, true, true, true);
    Optional<Option> best = Optional.of(local(lastSlot));
    long targetNs = 10 * (long) SERVICE_TIME_NS;
    PlacementRule patient =
        new PlacementRule(
            SERVICE_TIME_NS, targetNs, 0, DEADLINE_NS, false, Waiting.SPARING_LAST_SLOTS);
    assertThat(patient.next(best, NOTHING, 0), is(Step.WAIT));
    assertThat(patient.isBetter(local(IDLE), local(lastSlot), 0), is(true));
    long laterNs = 8 * (long) SERVICE_TIME_NS;
    assertThat(patient.next(best, NOTHING, laterNs), is(Step.SELECT));
  }

  /** A caller that waits for less time than the target latency is not held beyond that. */
  @Test
  void requestDoesNotWaitBeyondItsDeadline() {
    PlacementRule rule =
        new PlacementRule(
            SERVICE_TIME_NS, 2 * DEADLINE_NS, 0, DEADLINE_NS, false, Waiting.WHILE_IN_TIME);
    assertThat(rule.latestStartNs(), lessThan(DEADLINE_NS));
    assertThat(rule.next(Optional.of(local(FULL)), NOTHING, DEADLINE_NS), is(Step.REFUSE_NO_ROOM));
  }

  /** A burst beyond the capacity: if all wait, all are served late. */
  @Test
  void onlyPatientRequestsWait() {
    assertThat(Waiting.of(false, true), is(Waiting.NONE));
    assertThat(Waiting.of(true, false), is(Waiting.WHILE_IN_TIME));
    assertThat(Waiting.of(true, true), is(Waiting.SPARING_LAST_SLOTS));
    assertThat(PlacementRule.isPatient(SERVICE_TIME_NS, TARGET_NS), is(false));
    assertThat(PlacementRule.isPatient(10 * SERVICE_TIME_NS, 6 * TARGET_NS), is(false));
    assertThat(PlacementRule.isPatient(SERVICE_TIME_NS, 5 * TARGET_NS), is(false));
    assertThat(PlacementRule.isPatient(SERVICE_TIME_NS, 6 * TARGET_NS), is(true));
  }

  @Test
  void requestLeavesAFullZone() {
    assertThat(rule(false).isBetter(other(IDLE), local(FULL), 0), is(true));
    assertThat(rule(true).isBetter(other(IDLE), local(FULL), 0), is(true));
    assertThat(next(local(FULL), NOTHING), is(Step.REFUSE_NO_ROOM));
  }

  @Test
  void freeSlotIsUsedAlthoughTheResponseIsExpectedAfterTheDeadline() {
    assertThat(rule(false).prospect(SLOW, DEADLINE_NS), is(Prospect.UNLIKELY));
    Optional<Option> best = Optional.of(local(SLOW));
    assertThat(rule(false).next(best, NOTHING, DEADLINE_NS), is(Step.SELECT));
  }

  @Test
  void firstResponseIsAwaitedWhileTheRequestCanBeInTime() {
    PlacementRule rule = rule(false);
    assertThat(rule.next(Optional.empty(), PENDING, 0), is(Step.AWAIT_RESPONSES));
    assertThat(rule.next(Optional.empty(), ALL, 0), is(Step.PROBE_LOCAL));
    assertThat(rule.next(Optional.empty(), PENDING, SELECTION_END_NS), is(Step.AWAIT_RESPONSES));
    assertThat(rule.next(Optional.empty(), PENDING, LATEST_START_NS), is(Step.REFUSE_UNREACHABLE));
    assertThat(
        rule(true).next(Optional.empty(), PENDING, SELECTION_END_NS), is(Step.REFUSE_UNREACHABLE));
    assertThat(rule.next(Optional.empty(), NOTHING, 0), is(Step.REFUSE_UNREACHABLE));
  }
}
