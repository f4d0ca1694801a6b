package org.cowslipstair.logic.overload.model;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThan;

import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Who waits, who is refused and where work goes, under patterns that the users' bench has shown.
 * The bounds lie between the decisions in force and those before them.
 */
final class LoadModelTest {
  private static final long SEED = 11;

  private static Result play(Pattern pattern) {
    return play(pattern, Policy.inForce());
  }

  private static Result play(Pattern pattern, Policy policy) {
    return LoadModel.play(pattern, policy, SEED);
  }

  @Test
  void calmDayIsServedInTimeInTheOwnZone() {
    Result result = play(Pattern.calm());
    assertThat(result.toString(), result.inTimeShare(), greaterThan(0.95));
    assertThat(result.toString(), result.otherZoneShare(), lessThan(0.02));
    assertThat(result.toString(), result.hedges, greaterThan(0));
  }

  /** Callers whose request was shed although slots were free gain nothing by waiting. */
  @Test
  void callersOfAServiceThatShedsReturnAtOnce() {
    Result result = play(Pattern.shedding());
    assertThat(result.toString(), result.inTimeShare(), greaterThan(0.8));
    Result before = play(Pattern.shedding(), new Policy(false, true, true, true));
    assertThat(before.toString(), before.inTimeShare(), lessThan(0.7));
  }

  /** What all backend servers fail alike must not make each request search all of them. */
  @Test
  void serviceThatShedsIsNotSearchedForABetterBackend() {
    Result result = play(Pattern.shedding());
    assertThat(result.toString(), result.probesPerSend(), lessThan(2.5));
    Result before = play(Pattern.shedding(), new Policy(true, false, true, true));
    assertThat(before.toString(), before.probesPerSend(), greaterThan(3.0));
  }

  @Test
  void backendsThatDoNotRespondAreNotProbedByEveryRequest() {
    Result result = play(Pattern.zoneGoesDark());
    assertThat(result.toString(), result.inTimeShare(), greaterThan(0.95));
    Result before = play(Pattern.zoneGoesDark(), new Policy(true, true, false, true));
    assertThat(
        result.toString(),
        result.probesThatGotNoResponse,
        lessThan(before.probesThatGotNoResponse * 3 / 4));
  }

  /** Queues that make everyone late must not build up: 0.13 in time and 0.72 served with them. */
  @Test
  void burstBeyondTheCapacityLeavesMostInTime() {
    Result result = play(Pattern.burst());
    assertThat(result.toString(), result.inTimeShare(), greaterThan(0.6));
    assertThat(result.toString(), result.servedShare(), greaterThan(0.8));
  }

  @Test
  void callersThatMoveToOneZoneAreServedByAll() {
    Result result = play(Pattern.shift());
    assertThat(result.toString(), result.inTimeShare(), greaterThan(0.95));
  }

  /** Reads with seconds to spare are neither refused nor in the way of short uploads. */
  @Test
  void burstOfLongReadsWaitsBehindShortUploads() {
    Policy withoutWaiting = new Policy(true, true, true, false);
    for (Fleet fleet : List.of(Fleet.RECORDS, Fleet.RECORDS.small())) {
      Result result = play(Pattern.burstOfLongReads(fleet));
      assertThat(result.toString(), result.counts("read").inTimeShare(), greaterThan(0.93));
      assertThat(result.toString(), result.counts("upload").servedShare(), greaterThan(0.97));
      assertThat(result.toString(), result.refusals, lessThan(5));
      Result before = play(Pattern.burstOfLongReads(fleet), withoutWaiting);
      assertThat(before.toString(), before.counts("read").inTimeShare(), lessThan(0.93));
      assertThat(before.toString(), before.refusals, greaterThan(10));
    }
  }

  /** At the knee, and beside slow servers, short calls must not wait for each other. */
  @Test
  void shortCallsAreSentOrRefusedAtOnce() {
    Result burst = play(Pattern.burstOfShortCalls(Fleet.ORDERS));
    assertThat(burst.toString(), burst.inTimeShare(), greaterThan(0.95));
    Result slow = play(Pattern.slowServers(Fleet.ORDERS));
    assertThat(slow.toString(), slow.inTimeShare(), greaterThan(0.93));
    Result shedding = play(Pattern.sheddingToCallersThatReturnOnce(Fleet.ORDERS));
    assertThat(shedding.toString(), shedding.inTimeShare(), greaterThan(0.7));
    assertThat(burst.waits + slow.waits + shedding.waits, lessThan(50));
  }
}
