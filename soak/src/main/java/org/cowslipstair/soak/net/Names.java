package org.cowslipstair.soak.net;

/**
 * Names of the headers that callers, gateways and backend servers use.
 *
 * @param requestId id of a request, echoed in its answer
 * @param deadlineMs time that the caller waits
 * @param expectInstance instance that a request is meant for
 * @param instance instance that answers
 * @param notExecuted says that a request did not run
 * @param proof comes with a backend server's whole answer
 * @param load running, waiting, slots and pace of a backend server
 * @param coldMs rest of a cold start
 */
public record Names(
    String requestId,
    String deadlineMs,
    String expectInstance,
    String instance,
    String notExecuted,
    String proof,
    String load,
    String coldMs) {}
