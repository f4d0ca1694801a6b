package org.cowslipstair.runtime;

import java.util.EnumSet;
import java.util.Set;
import java.util.function.Consumer;
import org.cowslipstair.logic.invariant.Invariant;
import org.cowslipstair.logic.invariant.Violation;
import org.jboss.logging.Logger;

/** Logs the first violation of each invariant; the monitor counts the others. */
final class ViolationLog implements Consumer<Violation> {
  private static final Logger LOG = Logger.getLogger(ViolationLog.class);

  private final Set<Invariant> logged = EnumSet.noneOf(Invariant.class);

  @Override
  public synchronized void accept(Violation violation) {
    if (logged.add(violation.invariant())) {
      LOG.errorf(
          "invariant: %s is violated by \"%s\": %d instead of at most %d",
          violation.invariant(), violation.subject(), violation.observed(), violation.bound());
    }
  }
}
