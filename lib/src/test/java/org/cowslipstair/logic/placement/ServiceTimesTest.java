package org.cowslipstair.logic.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.lessThan;

import org.junit.jupiter.api.Test;

final class ServiceTimesTest {
  private static final long TARGET_MS = 4_000;

  /** A gateway of a large fleet sees one long read in four seconds. */
  @Test
  void fewMeasurementsReplaceWhatWasAssumed() {
    ServiceTimes times = new ServiceTimes();
    assertThat(times.averageNs("read", TARGET_MS), closeTo(1_600e6, 1));
    for (int i = 0; i < 4; i++) {
      times.record("read", TARGET_MS, 900_000_000L);
    }
    assertThat(times.averageNs("read", TARGET_MS), lessThan(1_050e6));
  }

  @Test
  void averageFollowsTheLastMeasurements() {
    ServiceTimes times = new ServiceTimes();
    for (int i = 0; i < 200; i++) {
      times.record("read", TARGET_MS, i < 100 ? 500_000_000L : 900_000_000L);
    }
    assertThat(times.averageNs("read", TARGET_MS), closeTo(900e6, 10e6));
  }
}
