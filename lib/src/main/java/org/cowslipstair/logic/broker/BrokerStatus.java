package org.cowslipstair.logic.broker;

import java.util.List;
import org.cowslipstair.model.config.BackendName;
import org.cowslipstair.model.pool.BackendState;
import org.cowslipstair.model.pool.PoolId;

/**
 * What a broker knows of its pool, for state dumps.
 *
 * @param recovering whether leases of the previous broker may be unknown
 * @param awaited gateways that have not yet reported their leases
 * @param queueLength acquires that wait
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
   * One backend server.
   *
   * @param limit most leases that may be out
   * @param out slots that are busy
   */
  public record BackendStatus(BackendName backend, BackendState state, int limit, int out) {}

  /** Counts since the start of the process. */
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
