package org.cowslipstair.logic.stop;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

final class PlannedStopTest {
  private static final long NS_PER_MS = 1_000_000L;
  private final PlannedStop stop = new PlannedStop(3_000 * NS_PER_MS, 5_000 * NS_PER_MS);

  private boolean accepts(long nowMs, long deadlineMs, double serviceTimeMs) {
    return stop.accepts(nowMs * NS_PER_MS, deadlineMs * NS_PER_MS, serviceTimeMs * NS_PER_MS);
  }

  @Test
  void requestThatUsuallyEndsInTimeIsAcceptedDuringTheNotice() {
    assertThat(accepts(2_900, 20_000, 500), is(true));
    assertThat(accepts(2_900, 20_000, 600), is(false));
  }

  @Test
  void requestAfterTheNoticeIsAcceptedOnlyIfItsOwnTimeEndsInTime() {
    assertThat(accepts(3_000, 20_000, 1), is(false));
    assertThat(accepts(4_000, 5_000, 600), is(true));
    assertThat(accepts(4_000, 5_001, 1), is(false));
  }

  /** Whatever the clock shows at the start of the process, also where it overflows. */
  @Property(seed = "2803", tries = 200)
  void acceptedRequestsEndWithTheStopAtTheLatest(
      @ForAll long startNs,
      @ForAll @LongRange(max = 6_000_000_000L) long nowNs,
      @ForAll @LongRange(max = 20_000_000_000L) long remainingNs,
      @ForAll @LongRange(max = 2_000_000_000L) long serviceTimeNs) {
    PlannedStop shifted = new PlannedStop(startNs + 3_000_000_000L, startNs + 5_000_000_000L);
    long deadlineNs = startNs + nowNs + remainingNs;
    boolean isAccepted = shifted.accepts(startNs + nowNs, deadlineNs, serviceTimeNs);
    assertThat(shifted.limit(deadlineNs) - startNs, is(lessThanOrEqualTo(5_000_000_000L)));
    assertThat(isAccepted && nowNs > 5_000_000_000L, is(false));
  }
}
