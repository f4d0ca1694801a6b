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
  private static final long DURATION_MS = 60_000;

  @Test
  void sameSeedGeneratesSamePlan() {
    assertThat(FaultPlan.generate(5, DURATION_MS), is(FaultPlan.generate(5, DURATION_MS)));
    assertThat(FaultPlan.generate(5, DURATION_MS), is(not(FaultPlan.generate(6, DURATION_MS))));
  }

  @Test
  void plansContainEveryKindOfFaultWithinDuration() {
    Set<Class<?>> kinds = new HashSet<>();
    for (long seed = 0; seed < 20; seed++) {
      for (FaultPlan.Planned planned : FaultPlan.generate(seed, DURATION_MS)) {
        kinds.add(planned.fault().getClass());
        assertThat(planned.atMs(), greaterThan(0L));
        assertThat(planned.atMs(), lessThan(DURATION_MS + 1_000));
      }
    }
    assertThat(kinds, is(Set.of(Fault.class.getPermittedSubclasses())));
  }
}
