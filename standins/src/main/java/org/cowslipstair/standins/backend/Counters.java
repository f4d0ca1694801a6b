package org.cowslipstair.standins.backend;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/** Live counters of one backend server stand-in. */
final class Counters {
  private static final long SECOND_NS = TimeUnit.SECONDS.toNanos(1);

  private final Map<Event, AtomicLong> counts = new EnumMap<>(Event.class);
  private final Deque<Long> recentProbesNs = new ArrayDeque<>();

  enum Event {
    CALL,
    RUN,
    ANSWERED,
    NOT_RUN,
    CANCELLED,
    DEADLINE_PASSED,
    MOST_IN_FLIGHT,
    OVER_SLOTS,
    OVER_COLD_CAPACITY,
    OVER_COLD_CAPACITY_LATE,
    AFTER_MARK,
    COLLAPSE,
    BAD_UPLOAD,
    PROBE,
    MOST_PROBES_PER_SECOND,
    OPEN_CONNECTIONS,
    MOST_OPEN_CONNECTIONS
  }

  Counters() {
    for (Event event : Event.values()) {
      counts.put(event, new AtomicLong());
    }
  }

  void add(Event event) {
    count(event).incrementAndGet();
  }

  void atLeast(Event event, long value) {
    count(event).accumulateAndGet(value, Math::max);
  }

  void connectionOpened() {
    atLeast(Event.MOST_OPEN_CONNECTIONS, count(Event.OPEN_CONNECTIONS).incrementAndGet());
  }

  void connectionClosed() {
    count(Event.OPEN_CONNECTIONS).decrementAndGet();
  }

  synchronized void probe(long nowNs) {
    add(Event.PROBE);
    recentProbesNs.addLast(nowNs);
    while (nowNs - recentProbesNs.getFirst() >= SECOND_NS) {
      recentProbesNs.removeFirst();
    }
    atLeast(Event.MOST_PROBES_PER_SECOND, recentProbesNs.size());
  }

  BackendCounts snapshot() {
    return new BackendCounts(
        value(Event.CALL),
        value(Event.RUN),
        value(Event.ANSWERED),
        value(Event.NOT_RUN),
        value(Event.CANCELLED),
        value(Event.DEADLINE_PASSED),
        value(Event.MOST_IN_FLIGHT),
        value(Event.OVER_SLOTS),
        value(Event.OVER_COLD_CAPACITY),
        value(Event.OVER_COLD_CAPACITY_LATE),
        value(Event.AFTER_MARK),
        value(Event.COLLAPSE),
        value(Event.BAD_UPLOAD),
        value(Event.PROBE),
        value(Event.MOST_PROBES_PER_SECOND),
        value(Event.OPEN_CONNECTIONS),
        value(Event.MOST_OPEN_CONNECTIONS));
  }

  private long value(Event event) {
    return count(event).get();
  }

  private AtomicLong count(Event event) {
    return counts.getOrDefault(event, new AtomicLong());
  }
}
