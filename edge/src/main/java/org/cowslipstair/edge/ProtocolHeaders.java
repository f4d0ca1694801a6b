package org.cowslipstair.edge;

/**
 * Names of the header fields that the callers and backend servers of a deployment use.
 *
 * @param requestId id of a request; the response repeats it
 * @param deadlineMs time that the sender still waits, in milliseconds
 * @param expectInstance name of the only backend instance that may run the request
 * @param instance name of the responding backend instance
 * @param notExecuted marks a response whose request did not run
 * @param signature signature of the backend server for its response
 * @param load load report: running, waiting, slots and pace in percent
 * @param rateLimit requests per second that the backend server accepts from all gateways together
 * @param leaving "1" in the responses of a backend server that leaves
 * @param coldRemainingMs time for which the backend server stays cold, in milliseconds
 * @param tenant name of the tenant that a request belongs to, set by the gateway
 */
public record ProtocolHeaders(
    String requestId,
    String deadlineMs,
    String expectInstance,
    String instance,
    String notExecuted,
    String signature,
    String load,
    String rateLimit,
    String leaving,
    String coldRemainingMs,
    String tenant) {}
