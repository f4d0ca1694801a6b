package org.cowslipstair.logic.quarantine;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import org.cowslipstair.logic.invariant.InvariantMonitor;
import org.cowslipstair.logic.invariant.Violation;
import org.cowslipstair.model.config.BackendName;
import org.cowslipstair.model.traffic.BackendProcess;
import org.cowslipstair.model.traffic.RequestFingerprint;
import org.junit.jupiter.api.Test;

final class QuarantineTableTest {
  private static final long NS_PER_SECOND = 1_000_000_000L;
  private static final RequestFingerprint DEADLY = fingerprint("deadly");
  private static final RequestFingerprint INNOCENT = fingerprint("innocent");
  private final List<Violation> violations = new ArrayList<>();
  private final QuarantineTable table =
      new QuarantineTable("g", new InvariantMonitor(violations::add));

  private static RequestFingerprint fingerprint(String target) {
    return new RequestFingerprint.Head("", "GET", "a.example", target).with(List.of());
  }

  private static BackendProcess process(int number) {
    return new BackendProcess(new BackendName("b-" + number), 1);
  }

  private static long seconds(double seconds) {
    return (long) (seconds * NS_PER_SECOND);
  }

  private QuarantineVerdict verdict(RequestFingerprint fingerprint, double atSeconds) {
    return table.verdict(fingerprint, seconds(atSeconds));
  }

  private void crash(RequestFingerprint fingerprint, int process, double atSeconds) {
    table.recordCrash(fingerprint, process(process), seconds(atSeconds));
  }

  @Test
  void requestAloneAtTwoCrashesIsHeldBack() {
    crash(DEADLY, 1, 1);
    assertThat(verdict(DEADLY, 1), is(new QuarantineVerdict.Suspected(1)));
    crash(DEADLY, 2, 2);
    assertThat(verdict(DEADLY, 2.1), is(instanceOf(QuarantineVerdict.HeldBack.class)));
    assertThat(verdict(INNOCENT, 2.1), is(new QuarantineVerdict.Unsuspected()));
  }

  @Test
  void sameCrashSeenTwiceCountsOnce() {
    crash(DEADLY, 1, 1);
    crash(DEADLY, 1, 1.1);
    assertThat(verdict(DEADLY, 2), is(new QuarantineVerdict.Suspected(1)));
  }

  @Test
  void requestsThatAlwaysRanTogetherAreHeldBackAfterThreeCrashes() {
    for (int i = 1; i <= 3; i++) {
      assertThat(verdict(INNOCENT, i), is(not(instanceOf(QuarantineVerdict.HeldBack.class))));
      crash(DEADLY, i, i);
      crash(INNOCENT, i, i);
    }
    assertThat(verdict(DEADLY, 3), is(instanceOf(QuarantineVerdict.HeldBack.class)));
  }

  @Test
  void requestWhoseCrashesAnotherOneExplainsIsNotHeldBack() {
    for (int i = 1; i <= 3; i++) {
      crash(DEADLY, i, i);
      crash(INNOCENT, i, i);
    }
    crash(DEADLY, 4, 4);
    assertThat(verdict(INNOCENT, 5), is(new QuarantineVerdict.Suspected(3)));
    assertThat(verdict(DEADLY, 5), is(instanceOf(QuarantineVerdict.HeldBack.class)));
    for (int i = 0; i < 10; i++) {
      table.recordSend(INNOCENT, seconds(7));
    }
    assertThat(violations, hasSize(0));
  }

  /** Soak seed 429: all callers of a page got refusals, since their requests are the same. */
  @Test
  void sharedCrashDoesNotCountAgainstARequestBesideOneOfItsOwn() {
    crash(INNOCENT, 1, 1);
    crash(DEADLY, 2, 1.5);
    crash(DEADLY, 3, 2);
    crash(INNOCENT, 3, 2);
    assertThat(verdict(INNOCENT, 3), is(new QuarantineVerdict.Suspected(2)));
    crash(DEADLY, 4, 4);
    assertThat(verdict(DEADLY, 5), is(instanceOf(QuarantineVerdict.HeldBack.class)));
    assertThat(verdict(INNOCENT, 5), is(new QuarantineVerdict.Suspected(2)));
  }

  @Test
  void secondDeadlyRequestIsHeldBackAfterOneCrashOfItsOwn() {
    for (int i = 1; i <= 3; i++) {
      crash(DEADLY, i, i);
      crash(INNOCENT, i, i);
    }
    crash(DEADLY, 4, 4);
    crash(INNOCENT, 5, 5);
    assertThat(verdict(INNOCENT, 5), is(instanceOf(QuarantineVerdict.HeldBack.class)));
    assertThat(verdict(DEADLY, 5), is(instanceOf(QuarantineVerdict.HeldBack.class)));
  }

  @Test
  void completeResponseClearsARequestAndLeavesTheBlameToTheOthers() {
    crash(DEADLY, 1, 1);
    crash(INNOCENT, 1, 1);
    crash(DEADLY, 2, 2);
    crash(INNOCENT, 2, 2);
    assertThat(verdict(DEADLY, 3), is(new QuarantineVerdict.Suspected(2)));
    table.recordCleared(INNOCENT, seconds(3));
    assertThat(verdict(INNOCENT, 3), is(new QuarantineVerdict.Unsuspected()));
    assertThat(verdict(DEADLY, 3), is(instanceOf(QuarantineVerdict.HeldBack.class)));
  }

  @Test
  void crashesUnderInnocentRequestsRaiseTheNumberOfCrashesThatItTakes() {
    crash(INNOCENT, 1, 1);
    table.recordCleared(INNOCENT, seconds(1.2));
    crash(DEADLY, 2, 2);
    crash(DEADLY, 3, 3);
    assertThat(verdict(DEADLY, 4), is(new QuarantineVerdict.Suspected(2)));
    assertThat(verdict(DEADLY, 12), is(instanceOf(QuarantineVerdict.HeldBack.class)));
    crash(DEADLY, 4, 4);
    assertThat(verdict(DEADLY, 4), is(instanceOf(QuarantineVerdict.HeldBack.class)));
  }

  @Test
  void crashIsNoEvidenceAgainstOneRequestBeforeTheOthersAreKnown() {
    crash(DEADLY, 1, 1);
    crash(DEADLY, 2, 1.01);
    assertThat(verdict(DEADLY, 1.02), is(new QuarantineVerdict.Suspected(2)));
  }

  @Test
  void heldBackRequestIsTriedAgainTwiceByOneGatewayAtATime() {
    crash(DEADLY, 1, 0);
    crash(DEADLY, 2, 0);
    assertThat(
        verdict(DEADLY, 10), is(new QuarantineVerdict.HeldBack(OptionalLong.of(seconds(20)))));
    assertThat(table.tryStartTrial(DEADLY, List.of("g"), seconds(29)).isPresent(), is(false));
    assertThat(table.tryStartTrial(DEADLY, List.of("other"), seconds(31)).isPresent(), is(false));
    assertThat(table.tryStartTrial(DEADLY, List.of("g"), seconds(31)).isPresent(), is(true));
    assertThat(table.tryStartTrial(DEADLY, List.of("g"), seconds(32)).isPresent(), is(false));
    crash(DEADLY, 3, 31);
    assertThat(table.tryStartTrial(DEADLY, List.of("g"), seconds(332)).isPresent(), is(true));
    crash(DEADLY, 4, 332);
    assertThat(verdict(DEADLY, 3_000), is(new QuarantineVerdict.HeldBack(OptionalLong.empty())));
  }

  @Test
  void requestsThatShareAllTheirCrashesAreTriedSoon() {
    for (int i = 1; i <= 3; i++) {
      crash(DEADLY, i, i);
      crash(INNOCENT, i, i);
    }
    assertThat(
        verdict(INNOCENT, 3.5), is(new QuarantineVerdict.HeldBack(OptionalLong.of(seconds(0.5)))));
    assertThat(table.tryStartTrial(INNOCENT, List.of("g"), seconds(4.1)).isPresent(), is(true));
    table.recordCleared(INNOCENT, seconds(4.2));
    assertThat(table.tryStartTrial(DEADLY, List.of("g"), seconds(4.3)).isPresent(), is(false));
    assertThat(
        verdict(DEADLY, 5), is(new QuarantineVerdict.HeldBack(OptionalLong.of(seconds(28)))));
  }

  @Test
  void everyTurnOfATrialBelongsToExactlyOneGateway() {
    List<String> gateways = List.of("g", "h", "i");
    for (double second = 31; second < 60; second += 1) {
      int owners = 0;
      for (String gateway : gateways) {
        QuarantineTable own = new QuarantineTable(gateway, InvariantMonitor.failing());
        own.recordCrash(DEADLY, process(1), 0);
        own.recordCrash(DEADLY, process(2), 0);
        owners += own.tryStartTrial(DEADLY, gateways, seconds(second)).isPresent() ? 1 : 0;
      }
      assertThat(owners, is(1));
    }
  }

  @Test
  void heldBackRequestsSurviveAFloodOfOthers() {
    crash(DEADLY, 1, 1);
    crash(DEADLY, 2, 2);
    for (int i = 0; i < 10 * QuarantineTable.MAX_SUSPECTS; i++) {
      crash(fingerprint("flood-" + i), 10 + i, 3 + i * 0.001);
    }
    assertThat(table.suspects().size(), is(lessThanOrEqualTo(QuarantineTable.MAX_SUSPECTS)));
    assertThat(verdict(DEADLY, 5), is(instanceOf(QuarantineVerdict.HeldBack.class)));
    assertThat(table.knowsHead(fingerprint("flood-0").headDigits()), is(false));
  }

  @Test
  void requestsThatAreNotSeenForLongAreForgotten() {
    crash(DEADLY, 1, 1);
    table.onArrival(DEADLY, seconds(3_000));
    table.removeExpired(seconds(4_000));
    assertThat(table.isEmpty(), is(false));
    table.removeExpired(seconds(7_000));
    assertThat(table.isEmpty(), is(true));
  }

  @Test
  void sendsLongAfterTheThirdCrashViolateThePromise() {
    for (int i = 1; i <= 3; i++) {
      crash(DEADLY, i, i);
    }
    for (int i = 0; i < 4; i++) {
      table.recordSend(DEADLY, seconds(5.9));
    }
    assertThat(violations, hasSize(0));
    for (int i = 0; i < 4; i++) {
      table.recordSend(DEADLY, seconds(6.1));
    }
    assertThat(violations, hasSize(1));
  }

  @Test
  void mergeGivesTheSameResultInAnyOrder() {
    QuarantineTable other = new QuarantineTable("h", InvariantMonitor.failing());
    crash(DEADLY, 1, 1);
    other.recordCrash(DEADLY, process(2), seconds(1.5));
    other.recordCrash(INNOCENT, process(2), seconds(1.5));
    other.recordCleared(INNOCENT, seconds(2));
    List<SuspectRequest> known = List.copyOf(table.suspects());
    other.suspects().forEach(suspect -> table.merge(suspect, seconds(2)));
    known.forEach(suspect -> other.merge(suspect, seconds(2)));
    assertThat(table.digest(), is(other.digest()));
    assertThat(other.merge(known.getFirst(), seconds(2)), is(false));
  }
}
