package org.cowslipstair.soak.net;

/**
 * Names of the headers that callers, gateways and backend servers use.
 *
 * @param requestId id of a request, echoed in its response
 * @param deadlineMs time that the caller waits, in milliseconds
 * @param expectInstance backend server that a request is meant for
 * @param respondingInstance backend server that responds
 * @param notExecuted marks a response to a request that did not run
 * @param proof marks the complete response of a backend server
 * @param load load of a backend server: running requests, waiting requests, slots and pace
 * @param remainingColdMs remaining time of a cold start, in milliseconds
 */
public record HeaderNames(
    String requestId,
    String deadlineMs,
    String expectInstance,
    String respondingInstance,
    String notExecuted,
    String proof,
    String load,
    String remainingColdMs) {}
