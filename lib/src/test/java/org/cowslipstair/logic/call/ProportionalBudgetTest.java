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

final class ProportionalBudgetTest {
  private static final int CAPACITY = 5;

  @Property(seed = "4521", tries = 300)
  void acquiredTokensStayWithinTheShareOfCallsAndTheRate(
      @ForAll long seed,
      @ForAll @DoubleRange(min = 0.01, max = 0.5) double tokensPerCall,
      @ForAll @DoubleRange(max = 3) double tokensPerSecond) {
    int initialTokens = (int) Math.floorMod(seed, 4L);
    ProportionalBudget budget = budget(initialTokens, tokensPerCall, tokensPerSecond);
    Random random = new Random(seed);
    long nowNs = 0;
    int calls = 0;
    int acquired = 0;
    for (int i = 0; i < 2_000; i++) {
      nowNs += random.nextLong(20_000_000L);
      switch (random.nextInt(4)) {
        case 0, 1 -> {
          budget.recordCall();
          calls++;
        }
        case 2 -> acquired += budget.tryAcquire(nowNs) ? 1 : 0;
        default -> {
          if (acquired > 0 && random.nextInt(8) == 0) {
            budget.refund();
            acquired--;
          }
        }
      }
      int bound =
          (int) (initialTokens + calls * tokensPerCall + nowNs / 1e9 * tokensPerSecond + 1e-6);
      assertThat(acquired, lessThanOrEqualTo(bound));
    }
  }

  @Test
  void accumulatesTokensUpToItsCapacity() {
    ProportionalBudget budget = budget(0, 0.1, 0);
    for (int i = 0; i < 1_000; i++) {
      budget.recordCall();
    }
    for (int i = 0; i < CAPACITY; i++) {
      assertThat(budget.tryAcquire(0), is(true));
    }
    assertThat(budget.tryAcquire(Long.MAX_VALUE), is(false));
  }

  private static ProportionalBudget budget(
      double initialTokens, double tokensPerCall, double tokensPerSecond) {
    return new ProportionalBudget(
        Invariant.HEDGE_BUDGET,
        "watch",
        initialTokens,
        tokensPerCall,
        tokensPerSecond,
        CAPACITY,
        InvariantMonitor.failing(),
        0);
  }
}
