package org.cowslipstair.logic.overload;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

/** All gateways restart at once and lack processor time, as on trouble-2 of vrs-gateway. */
final class LoopDelayTest {
  private static final long MS = 1_000_000L;
  private final LoopDelay delay = new LoopDelay();

  @Test
  void lateTimerCountsForAWhile() {
    assertThat(delay.delayNs(0), is(0L));
    delay.record(10 * MS, 90 * MS);
    assertThat(delay.delayNs(100 * MS), is(80 * MS));
    assertThat(delay.delayNs(300 * MS), is(0L));
  }

  @Test
  void timerInTimeEndsTheDelay() {
    delay.record(10 * MS, 90 * MS);
    delay.record(95 * MS, 95 * MS);
    assertThat(delay.delayNs(96 * MS), is(0L));
  }
}
