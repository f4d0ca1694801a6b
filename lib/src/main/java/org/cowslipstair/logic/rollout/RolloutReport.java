package org.cowslipstair.logic.rollout;

import java.util.Map;
import org.cowslipstair.model.config.ServiceName;
import org.cowslipstair.model.rollout.ServiceVersion;

/**
 * What one gateway has seen of a rollout since it learned of the order. Reports are cumulative, so
 * that one that is lost or repeated changes nothing.
 *
 * @param gateway name of the gateway
 * @param boot random number of its process
 * @param ageMs time since it learned of the order, in milliseconds
 * @param hasTarget whether it knows a server of the new version
 * @param isDrained whether none of its requests runs on another version, and none will be sent
 *     there
 * @param routes outcomes by name of the route
 */
public record RolloutReport(
    ServiceName service,
    ServiceVersion target,
    String gateway,
    long boot,
    long ageMs,
    boolean hasTarget,
    boolean isDrained,
    Map<String, RouteCounts> routes) {
  /** Copies the map. */
  public RolloutReport {
    routes = Map.copyOf(routes);
  }
}
