package org.cowslipstair.edge;

import java.util.List;
import org.cowslipstair.model.config.HostPort;
import org.cowslipstair.model.config.ZoneName;

/**
 * Settings of one gateway and the bounds that its fleet shares.
 *
 * @param name name of this gateway
 * @param callerAddress address for callers
 * @param readyAddress address for the balancer's readiness checks, metrics and dumps
 * @param relay where gateways pass the state of the store on
 * @param retryRatio sends beyond the first that a service may get for each request
 * @param retrySlack sends beyond the first that a service may get in a window besides
 * @param coldFactor factor on the rate that a cold backend server bears
 * @param coldSlack requests a second that a cold backend server bears besides
 * @param bounds more bounds
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
    FleetBounds bounds) {
  /**
   * Where gateways pass the state of the store on.
   *
   * @param address own address for other gateways
   * @param seeds addresses of some gateways, which may be down
   * @param firstStart whether the whole fleet starts for the first time
   */
  public record Relay(HostPort address, List<HostPort> seeds, boolean firstStart) {
    /** Copies the list. */
    public Relay {
      seeds = List.copyOf(seeds);
    }
  }

  /**
   * More bounds.
   *
   * @param probesPerSecond probes that a backend server may get a second from all gateways
   * @param stopTimeoutMs time from a planned stop to the end of the process
   * @param memoryBytes memory that the process may use
   * @param gatherMs pause after a change in the store, in which further changes gather
   */
  public record FleetBounds(
      double probesPerSecond, long stopTimeoutMs, long memoryBytes, long gatherMs) {}
}
