package org.cowslipstair.logic.traffic;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

final class OutageTrackerTest {
  private static final long SECOND_NS = 1_000_000_000L;
  private final OutageTracker tracker = new OutageTracker();

  @Test
  void graceStartsAtTheFirstContactAfterAnOutage() {
    tracker.recordLoss(10 * SECOND_NS);
    tracker.recordLoss(11 * SECOND_NS);
    tracker.recordContact(20 * SECOND_NS);
    tracker.recordContact(21 * SECOND_NS);
    assertThat(tracker.graceNs(21 * SECOND_NS), is(SECOND_NS));
    assertThat(tracker.graceNs(22 * SECOND_NS), is(0L));
  }

  @Test
  void shortOutageGrantsNoGrace() {
    tracker.recordLoss(10 * SECOND_NS);
    tracker.recordContact(11 * SECOND_NS);
    assertThat(tracker.graceNs(11 * SECOND_NS), is(0L));
  }
}
