package org.cowslipstair.logic.overload;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.both;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.OptionalLong;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

final class ReturnDelayTest {
  private static final long MS = 1_000_000L;
  private static final long CALLER_TIME_NS = 5_000 * MS;

  @Property(seed = "6201", tries = 1_000)
  void delayNeverExceedsAThirdOfTheTimeOfTheCaller(
      @ForAll @LongRange(min = -1, max = 60_000) long roomInMs,
      @ForAll @LongRange(min = -1_000, max = 60_000) long callerMs,
      @ForAll long seed) {
    OptionalLong room = roomInMs < 0 ? OptionalLong.empty() : OptionalLong.of(roomInMs * MS);
    long delayNs = new ReturnDelay(new Random(seed)).delayNs(room, callerMs * MS);
    assertThat(delayNs, greaterThanOrEqualTo(0L));
    assertThat(delayNs, lessThanOrEqualTo(Math.max(0, callerMs * MS / 3)));
  }

  @Property(seed = "6202", tries = 1_000)
  void callerReturnsWhenThereIsRoom(
      @ForAll @LongRange(min = 0, max = 400) long roomInMs, @ForAll long seed) {
    long delayNs =
        new ReturnDelay(new Random(seed)).delayNs(OptionalLong.of(roomInMs * MS), CALLER_TIME_NS);
    assertThat(delayNs, both(greaterThan(roomInMs * MS)).and(lessThan((2 * roomInMs + 41) * MS)));
  }

  @Test
  void callersThatAreRefusedTogetherReturnSpread() {
    ReturnDelay delay = new ReturnDelay(new Random(1));
    long minNs = Long.MAX_VALUE;
    long maxNs = 0;
    for (int i = 0; i < 100; i++) {
      long delayNs = delay.delayNs(OptionalLong.of(200 * MS), CALLER_TIME_NS);
      minNs = Math.min(minNs, delayNs);
      maxNs = Math.max(maxNs, delayNs);
    }
    assertThat(maxNs - minNs, greaterThan(150 * MS));
  }
}
