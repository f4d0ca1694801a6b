package org.cowslipstair.logic.call;

import java.util.Optional;
import org.cowslipstair.model.call.MayHaveRunReason;
import org.cowslipstair.model.call.NotRunReason;
import org.cowslipstair.model.config.ServiceName;

/**
 * Statistics of one call up to its response head or its refusal.
 *
 * @param service empty if no routing rule matched
 * @param totalNs time since the call arrived
 * @param addedLatencyNs part of the total time in which no backend server processed the answered
 *     attempt
 * @param retries number of times that the call was sent again
 * @param hedged whether the call was sent to a second backend server
 */
public record CallSummary(
    Optional<ServiceName> service,
    Outcome outcome,
    long totalNs,
    long addedLatencyNs,
    int retries,
    boolean hedged) {
  /** Outcome of the call. */
  public sealed interface Outcome {
    /** A backend server responded. */
    record Answered(int status) implements Outcome {}

    /** The call did not run. */
    record NotRun(NotRunReason reason) implements Outcome {}

    /** The call may have run. */
    record MayHaveRun(MayHaveRunReason reason) implements Outcome {}

    /** The caller disconnected. */
    record CallerGone() implements Outcome {}
  }
}
