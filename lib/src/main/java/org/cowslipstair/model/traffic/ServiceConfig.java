package org.cowslipstair.model.traffic;

import org.cowslipstair.model.config.ServiceName;

/**
 * Settings that apply to all backend servers of a service.
 *
 * @param healthPath path of the health endpoint on each backend server
 * @param maxConnections maximum number of connections to one backend server from all gateways
 *     together
 * @param coldRequestsPerSecond rate of requests that a cold backend server can handle from all
 *     gateways together
 */
public record ServiceConfig(
    ServiceName name, String healthPath, int maxConnections, double coldRequestsPerSecond) {
  /** Validates the values. The health path goes into requests as it is. */
  public ServiceConfig {
    boolean isPath =
        healthPath.startsWith("/") && healthPath.chars().allMatch(c -> c > ' ' && c < 0x7f);
    if (!isPath) {
      throw new IllegalArgumentException(
          "service \"%s\": health path \"%s\" is no path".formatted(name, healthPath));
    }
    boolean isRate = coldRequestsPerSecond >= 0 && Double.isFinite(coldRequestsPerSecond);
    if (maxConnections <= 0 || !isRate) {
      throw new IllegalArgumentException(
          "service \"%s\": %d connections, %s requests per second to a cold server"
              .formatted(name, maxConnections, coldRequestsPerSecond));
    }
  }
}
