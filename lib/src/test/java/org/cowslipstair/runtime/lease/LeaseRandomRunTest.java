package org.cowslipstair.runtime.lease;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.util.Optional;
import org.junit.jupiter.api.Test;

class LeaseRandomRunTest {
  private static final int SEED_COUNT = 10;
  private static final long DURATION_MS = 10_000;

  @Test
  void slotsAndLimitsHoldDuringStopsAndConfigurationChanges() {
    for (long seed = 1; seed <= SEED_COUNT; seed++) {
      FaultPlan plan = FaultPlan.generate(seed, true, DURATION_MS);

      assertThat(LeaseRandomRun.findFailure(plan), is(Optional.empty()));
    }
  }

  @Test
  void eachBrokerObservesLimitsDuringCrashesPausesAndPartitions() {
    for (long seed = 1; seed <= SEED_COUNT; seed++) {
      FaultPlan plan = FaultPlan.generate(seed, false, DURATION_MS);

      assertThat(LeaseRandomRun.findFailure(plan), is(Optional.empty()));
    }
  }

  @Test
  void mostCallsAreServedDespiteFaults() {
    LeaseRandomRun.Outcome outcome = LeaseRandomRun.run(FaultPlan.generate(2, false, DURATION_MS));

    assertThat(outcome.starts(), greaterThan(10 * outcome.refusedCalls()));
  }
}
