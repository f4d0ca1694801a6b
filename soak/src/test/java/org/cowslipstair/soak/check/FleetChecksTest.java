package org.cowslipstair.soak.check;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.hasSize;

import java.util.List;
import org.cowslipstair.soak.Limits;
import org.junit.jupiter.api.Test;

/** Tests that every check reports the violations it covers. */
final class FleetChecksTest {
  private static final long MS = 1_000_000L;
  private final Limits limits = Limits.defaults();
  private final Violations violations = new Violations(0);
  private final RequestLog requestLog = new RequestLog(violations);
  private final DisturbanceLog disturbanceLog = new DisturbanceLog(limits.settleMs());
  private final FleetChecks checks =
      new FleetChecks(limits, requestLog, disturbanceLog, violations);

  private void recordArrival(String id, String backend, long atMs) {
    requestLog.requestArrived(id, new RequestLog.Arrival(atMs * MS, backend, "s"));
  }

  private void assertReported(String rule) {
    assertThat(violations.texts(), hasItem(containsString(rule)));
  }

  @Test
  void secondRunOfUnsafeRequestIsReported() {
    requestLog.requestSent("a", RequestKind.UNSAFE, 0);
    requestLog.runStarted("a", "b-1", 1);
    assertThat(violations.texts(), empty());
    requestLog.runStarted("a", "b-2", 2);
    assertReported("at most once");
  }

  @Test
  void safeRequestMayRunTwice() {
    requestLog.requestSent("a", RequestKind.SAFE, 0);
    requestLog.runStarted("a", "b-1", 1);
    requestLog.runStarted("a", "b-2", 2);
    assertThat(violations.texts(), empty());
  }

  @Test
  void runOfRequestReportedNotRunIsReported() {
    requestLog.requestSent("a", RequestKind.UPLOAD, 0);
    requestLog.reportedNotRun("a");
    requestLog.checkNotRunReports();
    assertThat(violations.texts(), empty());
    requestLog.runStarted("a", "b-1", 9);
    requestLog.checkNotRunReports();
    assertReported("not run is true");
  }

  @Test
  void arrivalOfUnsentRequestIsReported() {
    recordArrival("nobody", "b-1", 1);
    assertReported("unasked");
  }

  @Test
  void repeatsBeyondRetryBudgetAreReportedOnce() {
    for (int i = 0; i < 70; i++) {
      requestLog.requestSent("a" + i, RequestKind.SAFE, 0);
      recordArrival("a" + i, "b-1", i);
      recordArrival("a" + i, "b-2", i + 1);
    }
    checks.checkRetryBudget();
    assertThat(violations.texts(), empty());
    for (int i = 70; i < 90; i++) {
      requestLog.requestSent("a" + i, RequestKind.SAFE, 0);
      recordArrival("a" + i, "b-1", i);
      recordArrival("a" + i, "b-2", i + 1);
    }
    checks.checkRetryBudget();
    assertThat(violations.texts(), hasSize(1));
    assertReported("retry budget");
  }

  @Test
  void lateSendsOfADeadlyRequestAreReported() {
    for (int i = 0; i < 6; i++) {
      requestLog.requestSent("deadly-1-" + i, RequestKind.SAFE, 0);
      recordArrival("deadly-1-" + i, "b-" + i, i < 3 ? 100 * i : 4_000 + 100 * i);
    }
    checks.checkDeadlyRequest("deadly-1-", new DisturbanceLog(0));
    assertThat(violations.texts(), empty());
    requestLog.requestSent("deadly-1-6", RequestKind.SAFE, 0);
    recordArrival("deadly-1-6", "b-6", 5_000);
    DisturbanceLog killed = new DisturbanceLog(0);
    killed.recordStart(4_900 * MS);
    checks.checkDeadlyRequest("deadly-1-", killed);
    assertThat(violations.texts(), empty());
    checks.checkDeadlyRequest("deadly-1-", new DisturbanceLog(0));
    assertReported("crashing request held back");
  }

  @Test
  void excessRequestsToColdBackendAreReported() {
    for (int i = 0; i < 14; i++) {
      requestLog.requestSent("a" + i, RequestKind.SAFE, 0);
      recordArrival("a" + i, "b-1", 100 + i * 60);
    }
    List<FleetChecks.ColdPeriod> periods =
        List.of(new FleetChecks.ColdPeriod("b-1", 0, 3_000 * MS));
    checks.checkColdPeriods(List.of(new FleetChecks.ColdPeriod("b-1", 500 * MS, 3_000 * MS)));
    assertThat(violations.texts(), empty());
    checks.checkColdPeriods(periods);
    assertReported("cold rate");
  }

  @Test
  void workForLeavingBackendIsReportedUnlessFleetWasDisturbed() {
    requestLog.requestSent("a", RequestKind.SAFE, 0);
    recordArrival("a", "b-1", 12_700);
    List<FleetChecks.ClosedPeriod> periods =
        List.of(new FleetChecks.ClosedPeriod("leaves", "b-1", 10_000 * MS, 14_000 * MS));
    DisturbanceLog disturbed = new DisturbanceLog(limits.settleMs());
    disturbed.recordStart(7_500 * MS).recordEnd(8_000 * MS);
    new FleetChecks(limits, requestLog, disturbed, violations)
        .checkClosedPeriods(periods, limits.leaveMs());
    assertThat(violations.texts(), empty());
    checks.checkClosedPeriods(periods, limits.leaveMs());
    assertReported("leaves");
  }

  @Test
  void lowServedShareAtEndIsReported() {
    requestLog.requestSent("a", RequestKind.SAFE, 5);
    requestLog.responseReceived("a", true);
    requestLog.checkServedAfter(1, 0.5);
    assertThat(violations.texts(), empty());
    requestLog.requestSent("b", RequestKind.SAFE, 9);
    requestLog.checkServedAfter(8, 0.5);
    assertReported("recovery");
  }
}
