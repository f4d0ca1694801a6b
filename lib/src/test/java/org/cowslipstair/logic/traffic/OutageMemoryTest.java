package org.cowslipstair.logic.traffic;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

final class OutageMemoryTest {
  private static final long SECOND_NS = 1_000_000_000L;
  private final OutageMemory memory = new OutageMemory();

  @Test
  void graceCountsFromTheFirstContactOfAnyCollection() {
    memory.lost(10 * SECOND_NS);
    memory.lost(11 * SECOND_NS);
    memory.contact(20 * SECOND_NS);
    memory.contact(21 * SECOND_NS);
    assertThat(memory.graceNs(21 * SECOND_NS), is(SECOND_NS));
    assertThat(memory.graceNs(22 * SECOND_NS), is(0L));
  }

  @Test
  void shortOutageLetsNothingLapse() {
    memory.lost(10 * SECOND_NS);
    memory.contact(11 * SECOND_NS);
    assertThat(memory.graceNs(11 * SECOND_NS), is(0L));
  }
}
