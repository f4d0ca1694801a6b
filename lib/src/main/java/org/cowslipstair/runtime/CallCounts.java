package org.cowslipstair.runtime;

import java.util.Map;
import org.cowslipstair.model.call.MayHaveRunReason;
import org.cowslipstair.model.call.NotRunReason;

/** Number of calls of one gateway since its start, by outcome. */
public record CallCounts(
    long answered,
    Map<NotRunReason, Long> notRun,
    Map<MayHaveRunReason, Long> mayHaveRun,
    long callerGone,
    long retries,
    long hedged) {
  /** Copies the maps. */
  public CallCounts {
    notRun = Map.copyOf(notRun);
    mayHaveRun = Map.copyOf(mayHaveRun);
  }
}
