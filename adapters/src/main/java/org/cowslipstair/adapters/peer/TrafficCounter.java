package org.cowslipstair.adapters.peer;

import java.util.Collection;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.ToLongFunction;
import org.cowslipstair.adapters.peer.PeerTraffic.FamilyTraffic;

/** Counts the traffic with one peer over all its connections. */
final class TrafficCounter {
  private final Direction out = new Direction();
  private final Direction in = new Direction();
  private final LongAdder dropped = new LongAdder();
  private final LongAdder overflows = new LongAdder();

  /** Counters of one direction. */
  private static final class Direction {
    private final LongAdder frames = new LongAdder();
    private final Map<MessageFamily, LongAdder> messages = adders();
    private final Map<MessageFamily, LongAdder> bytes = adders();

    private static Map<MessageFamily, LongAdder> adders() {
      Map<MessageFamily, LongAdder> adders = new EnumMap<>(MessageFamily.class);
      for (MessageFamily family : MessageFamily.values()) {
        adders.put(family, new LongAdder());
      }
      return adders;
    }

    private void message(MessageFamily family, long sizeBytes) {
      messages.get(family).increment();
      bytes.get(family).add(sizeBytes);
    }
  }

  void messageOut(MessageFamily family, long sizeBytes) {
    out.message(family, sizeBytes);
  }

  void messageIn(MessageFamily family, long sizeBytes) {
    in.message(family, sizeBytes);
  }

  void frameOut() {
    out.frames.increment();
  }

  void frameIn() {
    in.frames.increment();
  }

  void dropped() {
    dropped.increment();
  }

  void overflow() {
    overflows.increment();
  }

  static PeerTraffic sum(Collection<TrafficCounter> counters) {
    return new PeerTraffic(
        total(counters, c -> c.out.frames.sum()),
        total(counters, c -> c.in.frames.sum()),
        families(counters, true),
        families(counters, false),
        total(counters, c -> c.dropped.sum()),
        total(counters, c -> c.overflows.sum()));
  }

  private static Map<MessageFamily, FamilyTraffic> families(
      Collection<TrafficCounter> counters, boolean outgoing) {
    Map<MessageFamily, FamilyTraffic> families = new EnumMap<>(MessageFamily.class);
    for (MessageFamily family : MessageFamily.values()) {
      long messages = total(counters, c -> c.direction(outgoing).messages.get(family).sum());
      long bytes = total(counters, c -> c.direction(outgoing).bytes.get(family).sum());
      families.put(family, new FamilyTraffic(messages, bytes));
    }
    return families;
  }

  private Direction direction(boolean outgoing) {
    return outgoing ? out : in;
  }

  private static long total(
      Collection<TrafficCounter> counters, ToLongFunction<TrafficCounter> value) {
    return counters.stream().mapToLong(value).sum();
  }
}
