package org.cowslipstair.logic.broker;

import java.util.List;
import org.cowslipstair.model.config.BackendName;
import org.cowslipstair.model.pool.BackendState;
import org.cowslipstair.model.pool.PoolId;

/**
 * State of the broker of a pool, for state dumps.
 *
 * @param recovering whether leases that the previous broker granted may be missing
 * @param awaited number of gateways that have not yet reported their leases
 * @param queueLength number of acquires that wait for a slot
 */
public record BrokerStatus(
    PoolId pool,
    boolean recovering,
    int awaited,
    int queueLength,
    BrokerCounters counters,
    List<BackendStatus> backends) {
  /** Copies the list. */
  public BrokerStatus {
    backends = List.copyOf(backends);
  }

  /**
   * State of one backend server.
   *
   * @param limit maximum number of leases
   * @param out number of busy slots
   */
  public record BackendStatus(BackendName backend, BackendState state, int limit, int out) {}

  /** Event counts since the start of the process. */
  public record BrokerCounters(
      long acquires,
      long grants,
      long reuses,
      long refusals,
      long queueWaits,
      long recalls,
      long expiries,
      long terms) {}
}
