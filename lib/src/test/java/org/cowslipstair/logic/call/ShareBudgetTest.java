package org.cowslipstair.logic.call;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import org.cowslipstair.logic.invariant.Invariant;
import org.cowslipstair.logic.invariant.InvariantMonitor;
import org.junit.jupiter.api.Test;

final class ShareBudgetTest {
  private static final int CAPACITY = 5;

  @Property(seed = "4521", tries = 300)
  void takenTokensStayWithinTheShareOfCallsAndTheRate(
      @ForAll long seed,
      @ForAll @DoubleRange(min = 0.01, max = 0.5) double share,
      @ForAll @DoubleRange(max = 3) double perSecond) {
    int first = (int) Math.floorMod(seed, 4L);
    ShareBudget budget = budget(first, share, perSecond);
    Random random = new Random(seed);
    long nowNs = 0;
    int calls = 0;
    int taken = 0;
    for (int i = 0; i < 2_000; i++) {
      nowNs += random.nextLong(20_000_000L);
      switch (random.nextInt(4)) {
        case 0, 1 -> {
          budget.called();
          calls++;
        }
        case 2 -> taken += budget.tryTake(nowNs) ? 1 : 0;
        default -> {
          if (taken > 0 && random.nextInt(8) == 0) {
            budget.putBack();
            taken--;
          }
        }
      }
      int bound = (int) (first + calls * share + nowNs / 1e9 * perSecond + 1e-6);
      assertThat(taken, lessThanOrEqualTo(bound));
    }
  }

  @Test
  void savesUpToItsCapacity() {
    ShareBudget budget = budget(0, 0.1, 0);
    for (int i = 0; i < 1_000; i++) {
      budget.called();
    }
    for (int i = 0; i < CAPACITY; i++) {
      assertThat(budget.tryTake(0), is(true));
    }
    assertThat(budget.tryTake(Long.MAX_VALUE), is(false));
  }

  private static ShareBudget budget(double first, double share, double perSecond) {
    return new ShareBudget(
        Invariant.HEDGE_BUDGET,
        "watch",
        first,
        share,
        perSecond,
        CAPACITY,
        InvariantMonitor.failing(),
        0);
  }
}
