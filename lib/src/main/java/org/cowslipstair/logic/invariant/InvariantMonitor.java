package org.cowslipstair.logic.invariant;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Consumer;

/**
 * Counts violations and passes each one to a listener, which logs it or fails a test. Thread-safe
 * if the listener is.
 */
public final class InvariantMonitor {
  private final Map<Invariant, LongAdder> counts = new EnumMap<>(Invariant.class);
  private final Consumer<Violation> listener;

  /** Creates a monitor that reports to the given listener. */
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

  /** Records a violation if an observed value exceeds its bound. */
  public void checkAtMost(Invariant invariant, String subject, long observed, long bound) {
    if (observed > bound) {
      recordViolation(new Violation(invariant, subject, observed, bound));
    }
  }

  /** Counts a violation and passes it to the listener. */
  public void recordViolation(Violation violation) {
    LongAdder count = counts.get(violation.invariant());
    if (count != null) {
      count.increment();
    }
    listener.accept(violation);
  }

  /** Returns the number of violations of an invariant. */
  public long violationCount(Invariant invariant) {
    LongAdder count = counts.get(invariant);
    return count == null ? 0 : count.sum();
  }
}
