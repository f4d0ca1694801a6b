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
 * @param notReadyBecause why no new calls are taken, empty if they are
 * @param members gateways that are not dead, this one included
 * @param isolated whether new work is refused because configuration may be missed
 * @param violations promises that did not hold, by count
 * @param callsInProgress calls that have no result yet, or whose answer is being passed on
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
   * @param storeId store that the configuration comes from
   * @param revision revision up to which it is complete
   */
  public record ConfigView(String storeId, long storeTerm, long revision, ConfigStatus status) {}

  /**
   * Cost of the control thread since the start.
   *
   * @param cpuTimeNs processor time
   */
  public record ControlCost(long tasks, long failedTasks, long cpuTimeNs, long uptimeNs) {}
}
