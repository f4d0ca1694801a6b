package org.cowslipstair.logic.lessee;

import java.util.List;
import java.util.Optional;
import org.cowslipstair.model.fleet.GatewayId;
import org.cowslipstair.model.pool.PoolId;

/**
 * What a lessee knows, for state dumps.
 *
 * @param waitingCalls calls that wait for a slot
 */
public record LesseeStatus(int waitingCalls, Counts counts, List<PoolStatus> pools) {
  /** Copies the list. */
  public LesseeStatus {
    pools = List.copyOf(pools);
  }

  /**
   * One pool.
   *
   * @param broker broker that can be reached
   * @param lingerNs how long idle leases are kept
   */
  public record PoolStatus(
      PoolId pool,
      Optional<GatewayId> broker,
      int leasesInUse,
      int leasesIdle,
      int pendingAcquires,
      long lingerNs) {}

  /** Counts since the start of the process. */
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
