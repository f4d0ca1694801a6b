package org.cowslipstair.edge;

/**
 * Names of the header fields that a deployment's callers and backend servers use.
 *
 * @param requestId identifies one request of one caller; echoed in its answer
 * @param deadlineMs time that the sender still waits, in milliseconds
 * @param expectInstance name of the only backend instance that may run the request
 * @param instance name of the backend instance that answered
 * @param notExecuted mark of an answer whose request did not run
 * @param proof signature of the backend server under its answer
 * @param load load report: running, waiting, slots and pace in percent
 * @param coldMs time for which the backend server stays cold, in milliseconds
 */
public record ProtocolHeaders(
    String requestId,
    String deadlineMs,
    String expectInstance,
    String instance,
    String notExecuted,
    String proof,
    String load,
    String coldMs) {}
