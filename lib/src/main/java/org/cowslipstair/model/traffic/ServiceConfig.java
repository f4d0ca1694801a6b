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
    ServiceName name, String healthPath, int maxConnections, double coldRequestsPerSecond) {}
