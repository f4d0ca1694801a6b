package org.cowslipstair.logic.invariant;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Consumer;

/** Counts violations and passes each to a listener, which logs it or fails a test. */
public final class InvariantMonitor {
  private final Map<Invariant, LongAdder> counts = new EnumMap<>(Invariant.class);
  private final Consumer<Violation> listener;

  /** Creates a monitor. */
  public InvariantMonitor(Consumer<Violation> listener) {
    this.listener = listener;
    for (Invariant invariant : Invariant.values()) {
      counts.put(invariant, new LongAdder());
    }
  }

  /** Returns a monitor that throws on the first violation, for tests. */
  public static InvariantMonitor failing() {
    return new InvariantMonitor(
        violation -> {
          throw new AssertionError("violated: " + violation);
        });
  }

  /** Checks that an observed value is at most its bound. */
  public void checkAtMost(Invariant invariant, String subject, long observed, long bound) {
    if (observed > bound) {
      violated(new Violation(invariant, subject, observed, bound));
    }
  }

  /** Records a violation. */
  public void violated(Violation violation) {
    LongAdder count = counts.get(violation.invariant());
    if (count != null) {
      count.increment();
    }
    listener.accept(violation);
  }

  /** Returns how often an invariant was violated. */
  public long count(Invariant invariant) {
    LongAdder count = counts.get(invariant);
    return count == null ? 0 : count.sum();
  }
}
