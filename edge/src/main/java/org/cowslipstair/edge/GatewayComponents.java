package org.cowslipstair.edge;

import io.netty.channel.EventLoop;
import java.util.random.RandomGenerator;
import org.cowslipstair.logic.invariant.InvariantMonitor;
import org.cowslipstair.port.MonotonicClock;
import org.cowslipstair.port.ObjectFeed;

/** Dependencies of a {@link FrontGateway}. */
public record GatewayComponents(
    EventLoop loop,
    MonotonicClock clock,
    RandomGenerator random,
    ObjectFeed feed,
    ProtocolHeaders headers,
    InvariantMonitor monitor) {
  /** Returns a copy with another feed. */
  GatewayComponents with(ObjectFeed newFeed) {
    return new GatewayComponents(loop, clock, random, newFeed, headers, monitor);
  }
}
