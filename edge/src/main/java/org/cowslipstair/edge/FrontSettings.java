package org.cowslipstair.edge;

import org.cowslipstair.model.config.HostPort;
import org.cowslipstair.model.config.ZoneName;

/**
 * Settings of one gateway and the bounds that its fleet shares.
 *
 * @param name name of this gateway
 * @param callerAddress address for callers
 * @param readyAddress address for the balancer's readiness checks, metrics and dumps
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
    double retryRatio,
    double retrySlack,
    double coldFactor,
    double coldSlack,
    FleetBounds bounds) {
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
