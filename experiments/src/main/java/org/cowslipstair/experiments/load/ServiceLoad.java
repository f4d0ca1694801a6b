package org.cowslipstair.experiments.load;

/**
 * Load on one service.
 *
 * @param service name of the service
 * @param host value of the Host header
 * @param path path of each call
 * @param callsPerSecond mean rate of a Poisson process
 * @param nonIdempotentShare share of calls sent as POST, 0 to 1
 * @param answerBytes size of the body that is asked for
 */
public record ServiceLoad(
    String service,
    String host,
    String path,
    double callsPerSecond,
    double nonIdempotentShare,
    int answerBytes) {}
