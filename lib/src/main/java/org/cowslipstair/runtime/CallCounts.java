package org.cowslipstair.runtime;

import java.util.Map;
import org.cowslipstair.model.call.MayHaveRunReason;
import org.cowslipstair.model.call.NotRunReason;

/** Calls of one gateway since its start, by how they ended. */
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
