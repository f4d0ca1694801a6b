package org.cowslipstair.soak.check;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.hasSize;

import java.util.List;
import org.cowslipstair.soak.Bounds;
import org.junit.jupiter.api.Test;

/** Every check finds what it is there for. */
final class FleetChecksTest {
  private static final long MS = 1_000_000L;
  private final Bounds bounds = Bounds.usual();
  private final Violations violations = new Violations(0);
  private final Ledger ledger = new Ledger(violations);
  private final Calm calm = new Calm(bounds.contactMs());
  private final FleetChecks checks = new FleetChecks(bounds, ledger, calm, violations);

  private void arrives(String id, String backend, long atMs) {
    ledger.arrived(id, new Ledger.Arrival(atMs * MS, backend, "s"));
  }

  private void assertFound(String promise) {
    assertThat(violations.texts(), hasItem(containsString(promise)));
  }

  @Test
  void secondRunOfAnUnsafeRequestIsFound() {
    ledger.sent("a", RequestKind.UNSAFE, 0);
    ledger.runs("a", "b-1", 1);
    assertThat(violations.texts(), empty());
    ledger.runs("a", "b-2", 2);
    assertFound("at most once");
  }

  @Test
  void safeRequestMayRunTwice() {
    ledger.sent("a", RequestKind.SAFE, 0);
    ledger.runs("a", "b-1", 1);
    ledger.runs("a", "b-2", 2);
    assertThat(violations.texts(), empty());
  }

  @Test
  void refusedRequestThatRunsLaterIsFound() {
    ledger.sent("a", RequestKind.UPLOAD, 0);
    ledger.refusedAsNotRun("a");
    ledger.checkRefusals();
    assertThat(violations.texts(), empty());
    ledger.runs("a", "b-1", 9);
    ledger.checkRefusals();
    assertFound("not run is true");
  }

  @Test
  void requestThatNobodySentIsFound() {
    arrives("nobody", "b-1", 1);
    assertFound("unasked");
  }

  @Test
  void repeatsBeyondTheBudgetAreFoundOnce() {
    for (int i = 0; i < 70; i++) {
      ledger.sent("a" + i, RequestKind.SAFE, 0);
      arrives("a" + i, "b-1", i);
      arrives("a" + i, "b-2", i + 1);
    }
    checks.checkRetryBudget();
    assertThat(violations.texts(), empty());
    for (int i = 70; i < 90; i++) {
      ledger.sent("a" + i, RequestKind.SAFE, 0);
      arrives("a" + i, "b-1", i);
      arrives("a" + i, "b-2", i + 1);
    }
    checks.checkRetryBudget();
    assertThat(violations.texts(), hasSize(1));
    assertFound("retry budget");
  }

  @Test
  void coldServerThatGetsTooMuchIsFound() {
    for (int i = 0; i < 14; i++) {
      ledger.sent("a" + i, RequestKind.SAFE, 0);
      arrives("a" + i, "b-1", 100 + i * 60);
    }
    List<FleetChecks.Cold> span = List.of(new FleetChecks.Cold("b-1", 0, 3_000 * MS));
    checks.checkCold(List.of(new FleetChecks.Cold("b-1", 500 * MS, 3_000 * MS)));
    assertThat(violations.texts(), empty());
    checks.checkCold(span);
    assertFound("cold rate");
  }

  @Test
  void workForAServerThatLeavesIsFoundUnlessTheFleetWasDisturbed() {
    ledger.sent("a", RequestKind.SAFE, 0);
    arrives("a", "b-1", 12_700);
    List<FleetChecks.Closed> span =
        List.of(new FleetChecks.Closed("leaves", "b-1", 10_000 * MS, 14_000 * MS));
    Calm disturbed = new Calm(bounds.contactMs());
    disturbed.disturbed(7_500 * MS).endedAt(8_000 * MS);
    new FleetChecks(bounds, ledger, disturbed, violations).checkClosed(span, bounds.leaveMs());
    assertThat(violations.texts(), empty());
    checks.checkClosed(span, bounds.leaveMs());
    assertFound("leaves");
  }

  @Test
  void fleetThatServesNothingAtTheEndIsFound() {
    ledger.sent("a", RequestKind.SAFE, 5);
    ledger.answered("a", true);
    ledger.checkServedAfter(1, 0.5);
    assertThat(violations.texts(), empty());
    ledger.sent("b", RequestKind.SAFE, 9);
    ledger.checkServedAfter(8, 0.5);
    assertFound("recovery");
  }
}
