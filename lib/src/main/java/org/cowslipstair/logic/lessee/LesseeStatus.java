package org.cowslipstair.logic.lessee;

import java.util.List;
import java.util.Optional;
import org.cowslipstair.model.fleet.GatewayId;
import org.cowslipstair.model.pool.PoolId;

/**
 * State of a lessee, for state dumps.
 *
 * @param waitingCalls number of calls that wait for a slot
 */
public record LesseeStatus(int waitingCalls, Counts counts, List<PoolStatus> pools) {
  /** Copies the list. */
  public LesseeStatus {
    pools = List.copyOf(pools);
  }

  /**
   * State of one pool.
   *
   * @param broker reachable broker
   * @param lingerNs how long a lease that becomes idle now is kept
   */
  public record PoolStatus(
      PoolId pool,
      Optional<GatewayId> broker,
      int leasesInUse,
      int leasesIdle,
      int pendingAcquires,
      long lingerNs) {}

  /** Event counts since the start of the process. */
  public record Counts(
      long acquires,
      long grants,
      long refusals,
      long spills,
      long reuses,
      long recalls,
      long fallbackStarts,
      long lateGrants) {}
}
