package org.cowslipstair.runtime;

import java.time.InstantSource;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.cowslipstair.logic.call.CallSummary;
import org.cowslipstair.port.BackendProbe;
import org.cowslipstair.port.BackendTransport;
import org.cowslipstair.port.MonotonicClock;
import org.cowslipstair.port.PeerTransport;
import org.cowslipstair.port.PlatformStore;

/**
 * External dependencies of a gateway.
 *
 * @param random returns the random generator of the calling thread
 * @param uniqueIds generates globally unique identifiers
 * @param callListener receives the summary of each finished call, on the thread of the call
 */
public record GatewayPorts(
    PlatformStore store,
    PeerTransport peers,
    BackendTransport transport,
    BackendProbe probe,
    MonotonicClock clock,
    InstantSource wallClock,
    Supplier<RandomGenerator> random,
    Supplier<String> uniqueIds,
    Consumer<CallSummary> callListener) {}
