package org.cowslipstair.standins.backend;

/**
 * Counts of a backend server stand-in since its start.
 *
 * @param calls calls that arrived, without probes
 * @param runs calls that began to run
 * @param answered calls that were answered whole
 * @param notRun calls refused as not run
 * @param cancelled calls given up because the caller closed its connection
 * @param deadlinePassed calls given up at their deadline
 * @param mostInFlight most calls at once, waiting ones included
 * @param overSlots calls that arrived while all slots were taken
 * @param overColdCapacity calls that arrived while cold beyond what a cold start bears
 * @param overColdCapacityLate those of them later than the notice time after the cold start began
 * @param afterMark calls that arrived later than the grace after the mark
 * @param collapses times that the cold start collapsed
 * @param badUploads uploads that were cut off or did not match their checksum
 * @param probes calls of the health and load endpoints
 * @param mostProbesPerSecond most of them in one second
 * @param openConnections connections open now
 * @param mostOpenConnections most connections open at once
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
