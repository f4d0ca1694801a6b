package org.cowslipstair.model.traffic;

import org.cowslipstair.model.config.ServiceName;

/**
 * What all backend servers of a service have in common.
 *
 * @param healthPath path of the health endpoint
 * @param maxConnections connections that one backend server accepts from all gateways
 * @param coldRequestsPerSecond requests a second that a cold backend server bears from all gateways
 */
public record ServiceTraits(
    ServiceName name, String healthPath, int maxConnections, double coldRequestsPerSecond) {}
