package org.cowslipstair.standins.backend;

/**
 * Counts of a backend server stand-in since it started.
 *
 * @param calls calls that arrived, excluding probes
 * @param runs calls that started to run
 * @param answered calls with a complete response
 * @param notRun calls refused as not run
 * @param cancelled calls aborted because the caller closed its connection
 * @param deadlinePassed calls aborted at their deadline while running
 * @param mostInFlight maximum number of concurrent calls, including waiting calls
 * @param overSlots calls that arrived while the calls in flight occupied all slots
 * @param overColdCapacity calls that arrived during a cold start in excess of its capacity
 * @param overColdCapacityLate those of them that arrived after the notice time of the cold start
 *     had passed
 * @param afterMark calls that arrived after the grace period that follows the mark
 * @param collapses number of collapses during cold starts
 * @param badUploads uploads that were truncated or did not match their checksum
 * @param probes requests to the health and load endpoints
 * @param mostProbesPerSecond maximum number of probes within one second
 * @param openConnections currently open connections
 * @param mostOpenConnections maximum number of concurrently open connections
 */
public record BackendCounts(
    long calls,
    long runs,
    long answered,
    long notRun,
    long cancelled,
    long deadlinePassed,
    long mostInFlight,
    long overSlots,
    long overColdCapacity,
    long overColdCapacityLate,
    long afterMark,
    long collapses,
    long badUploads,
    long probes,
    long mostProbesPerSecond,
    long openConnections,
    long mostOpenConnections) {}
