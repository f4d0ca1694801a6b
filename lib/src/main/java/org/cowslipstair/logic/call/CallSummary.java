package org.cowslipstair.logic.call;

import java.util.Optional;
import org.cowslipstair.model.call.MayHaveRunReason;
import org.cowslipstair.model.call.NotRunReason;
import org.cowslipstair.model.config.ServiceName;

/**
 * Figures of one call up to the head of its answer, or up to its refusal.
 *
 * @param service empty if no routing rule matched
 * @param totalNs time since the call arrived
 * @param addedNs part of it in which no backend server worked on the attempt that was answered
 * @param retries number of times that the call was sent again
 * @param hedged whether a second backend server was asked
 */
public record CallSummary(
    Optional<ServiceName> service,
    Outcome outcome,
    long totalNs,
    long addedNs,
    int retries,
    boolean hedged) {
  /** How the call ended. */
  public sealed interface Outcome {
    /** A backend server answered. */
    record Answered(int status) implements Outcome {}

    /** The call did not run. */
    record NotRun(NotRunReason reason) implements Outcome {}

    /** The call may have run. */
    record MayHaveRun(MayHaveRunReason reason) implements Outcome {}

    /** The caller went away. */
    record CallerGone() implements Outcome {}
  }
}
