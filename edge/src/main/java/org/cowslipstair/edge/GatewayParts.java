package org.cowslipstair.edge;

import io.netty.channel.EventLoop;
import java.util.random.RandomGenerator;
import org.cowslipstair.logic.invariant.InvariantMonitor;
import org.cowslipstair.port.MonotonicClock;
import org.cowslipstair.port.ObjectFeed;

/** What a {@link FrontGateway} is built from. */
public record GatewayParts(
    EventLoop loop,
    MonotonicClock clock,
    RandomGenerator random,
    ObjectFeed feed,
    ProtocolHeaders headers,
    InvariantMonitor monitor) {
  /** Returns the same parts with another feed. */
  GatewayParts with(ObjectFeed other) {
    return new GatewayParts(loop, clock, random, other, headers, monitor);
  }
}
