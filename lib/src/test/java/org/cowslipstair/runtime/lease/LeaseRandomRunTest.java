package org.cowslipstair.runtime.lease;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.util.Optional;
import org.junit.jupiter.api.Test;

class LeaseRandomRunTest {
  private static final int SEEDS = 10;
  private static final long LENGTH_MS = 10_000;

  @Test
  void slotsAndLimitsHoldThroughStopsAndConfigurationChanges() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      FaultPlan plan = FaultPlan.draw(seed, true, LENGTH_MS);

      assertThat(LeaseRandomRun.failure(plan), is(Optional.empty()));
    }
  }

  @Test
  void eachBrokerKeepsItsLimitsThroughCrashesPausesAndPartitions() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      FaultPlan plan = FaultPlan.draw(seed, false, LENGTH_MS);

      assertThat(LeaseRandomRun.failure(plan), is(Optional.empty()));
    }
  }

  @Test
  void mostCallsAreServedAlthoughThingsFail() {
    LeaseRandomRun.Outcome outcome = LeaseRandomRun.run(FaultPlan.draw(2, false, LENGTH_MS));

    assertThat(outcome.starts(), greaterThan(10 * outcome.refused()));
  }
}
