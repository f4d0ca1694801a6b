package org.cowslipstair.runtime;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cowslipstair.logic.config.ConfigStatus;
import org.cowslipstair.logic.invariant.Invariant;
import org.cowslipstair.model.fleet.Member;
import org.cowslipstair.runtime.config.StoreCallCounts;
import org.cowslipstair.runtime.lease.LeaseStatus;

/**
 * The whole state of one gateway, for operators.
 *
 * @param notReadyBecause why the gateway is not ready for new calls, empty if it is ready
 * @param members gateways that are not dead, this one included
 * @param isolated whether new calls are refused because configuration changes may have been missed
 * @param violations number of violations of each invariant
 * @param callsInProgress calls without a result, or whose response is still being sent to the
 *     caller
 */
public record GatewayState(
    String name,
    long incarnation,
    String zone,
    Optional<String> notReadyBecause,
    ConfigView config,
    boolean isolated,
    List<Member> members,
    LeaseStatus leases,
    CallCounts calls,
    StoreCallCounts storeCalls,
    Map<Invariant, Long> violations,
    ControlCost control,
    long callsInProgress) {
  /**
   * Configuration of the gateway.
   *
   * @param storeId identity of the store that the configuration was read from
   * @param revision store revision up to which the configuration is complete
   */
  public record ConfigView(String storeId, long storeTerm, long revision, ConfigStatus status) {}

  /**
   * Work of the control thread since the start of the gateway.
   *
   * @param cpuTimeNs processor time in nanoseconds
   */
  public record ControlCost(long tasks, long failedTasks, long cpuTimeNs, long uptimeNs) {}
}
