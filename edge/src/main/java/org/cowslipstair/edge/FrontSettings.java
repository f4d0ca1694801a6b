package org.cowslipstair.edge;

import java.util.List;
import java.util.Optional;
import org.cowslipstair.model.config.HostPort;
import org.cowslipstair.model.config.ZoneName;
import org.cowslipstair.model.rollout.RolloutPolicy;
import org.cowslipstair.model.tenant.QuotaPolicy;

/**
 * Settings of one gateway, and the limits that are the same for its whole fleet.
 *
 * @param name name of this gateway
 * @param callerAddress address for callers
 * @param readyAddress address for the readiness checks of the balancer, metrics and state dumps
 * @param relay how gateways forward the state of the store to each other
 * @param retryRatio retries and hedges that a service may get per request
 * @param retrySlack further retries and hedges that a service may get in a window
 * @param coldFactor factor on the request rate that a cold backend server can handle
 * @param coldSlack further requests per second that a cold backend server may get
 * @param limits further limits
 * @param policies what the fleet does only where its settings ask for it
 */
public record FrontSettings(
    String name,
    ZoneName zone,
    HostPort callerAddress,
    HostPort readyAddress,
    Relay relay,
    double retryRatio,
    double retrySlack,
    double coldFactor,
    double coldSlack,
    FleetLimits limits,
    FleetPolicies policies) {
  /**
   * How gateways forward the state of the store to each other.
   *
   * @param address own address for other gateways
   * @param seedAddresses addresses of some gateways, which may be down
   * @param firstStart whether the whole fleet starts for the first time
   */
  public record Relay(HostPort address, List<HostPort> seedAddresses, boolean firstStart) {
    /** Copies the list. */
    public Relay {
      seedAddresses = List.copyOf(seedAddresses);
    }
  }

  /**
   * Further limits.
   *
   * @param probesPerSecond probes per second that a backend server may get from all gateways
   *     together
   * @param stopTimeoutMs time from a planned stop to the end of the process
   * @param maxMemoryBytes memory that the process may use
   * @param changeBatchDelayMs delay after a change in the store, in which further changes are
   *     batched
   */
  public record FleetLimits(
      double probesPerSecond, long stopTimeoutMs, long maxMemoryBytes, long changeBatchDelayMs) {}

  /**
   * What the fleet does only where its settings ask for it.
   *
   * @param quota how exactly quotas of tenants are kept; empty if the fleet keeps none
   * @param rollout bounds on rollouts; empty if the fleet carries out none
   */
  public record FleetPolicies(Optional<QuotaPolicy> quota, Optional<RolloutPolicy> rollout) {
    /** Returns the policies of a fleet that keeps no quotas and carries out no rollouts. */
    public static FleetPolicies none() {
      return new FleetPolicies(Optional.empty(), Optional.empty());
    }
  }
}
