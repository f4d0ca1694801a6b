package org.cowslipstair.soak.fault;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.not;

import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;

final class FaultPlanTest {
  private static final long LENGTH_MS = 60_000;

  @Test
  void sameSeedGivesTheSamePlan() {
    assertThat(FaultPlan.draw(5, LENGTH_MS), is(FaultPlan.draw(5, LENGTH_MS)));
    assertThat(FaultPlan.draw(5, LENGTH_MS), is(not(FaultPlan.draw(6, LENGTH_MS))));
  }

  @Test
  void plansHoldEveryKindOfFaultAndBeginInTime() {
    Set<Class<?>> kinds = new HashSet<>();
    for (long seed = 0; seed < 20; seed++) {
      for (FaultPlan.Planned planned : FaultPlan.draw(seed, LENGTH_MS)) {
        kinds.add(planned.fault().getClass());
        assertThat(planned.atMs(), greaterThan(0L));
        assertThat(planned.atMs(), lessThan(LENGTH_MS + 1_000));
      }
    }
    assertThat(kinds, is(Set.of(Fault.class.getPermittedSubclasses())));
  }
}
