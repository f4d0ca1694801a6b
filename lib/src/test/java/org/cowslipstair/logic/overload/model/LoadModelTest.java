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

  @Test
  void print() {
    for (Fleet fleet : List.of(Fleet.RECORDS, Fleet.RECORDS.small())) {
      System.out.println(
          "reads before "
              + play(Pattern.burstOfLongReads(fleet), new Policy(true, true, true, false)));
      System.out.println("reads after " + play(Pattern.burstOfLongReads(fleet)));
    }
    for (Fleet fleet : List.of(Fleet.ORDERS, Fleet.ORDERS.small())) {
      System.out.println(
          "short before "
              + play(Pattern.burstOfShortCalls(fleet), new Policy(true, true, true, false)));
      System.out.println("short after " + play(Pattern.burstOfShortCalls(fleet)));
      System.out.println(
          "shed before "
              + play(
                  Pattern.sheddingToCallersThatReturnOnce(fleet),
                  new Policy(true, true, true, true)));
      System.out.println("shed after " + play(Pattern.sheddingToCallersThatReturnOnce(fleet)));
      System.out.println(
          "slow before " + play(Pattern.slowServers(fleet), new Policy(true, true, true, false)));
      System.out.println("slow after " + play(Pattern.slowServers(fleet)));
    }
    for (Pattern p :
        List.of(
            Pattern.calm(),
            Pattern.burst(),
            Pattern.shedding(),
            Pattern.zoneGoesDark(),
            Pattern.shift())) {
      System.out.println("before " + play(p, new Policy(true, true, true, false)));
      System.out.println("after " + play(p));
    }
  }
}
