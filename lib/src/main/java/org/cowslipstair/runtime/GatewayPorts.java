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
 * What a gateway works with.
 *
 * @param random source for the calling thread
 * @param uniqueIds returns identifiers that nobody else has
 * @param calls told of each call whose result is known, on the thread of the call
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
    Consumer<CallSummary> calls) {}
