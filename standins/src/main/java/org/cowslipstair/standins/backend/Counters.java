package org.cowslipstair.standins.backend;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/** Live counters of one backend server stand-in. Thread-safe. */
final class Counters {
  private static final long SECOND_NS = TimeUnit.SECONDS.toNanos(1);

  private final Map<Metric, AtomicLong> counts = new EnumMap<>(Metric.class);
  private final Deque<Long> recentProbesNs = new ArrayDeque<>();

  enum Metric {
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
    for (Metric metric : Metric.values()) {
      counts.put(metric, new AtomicLong());
    }
  }

  void increment(Metric metric) {
    counter(metric).incrementAndGet();
  }

  void raiseTo(Metric metric, long value) {
    counter(metric).accumulateAndGet(value, Math::max);
  }

  void connectionOpened() {
    raiseTo(Metric.MOST_OPEN_CONNECTIONS, counter(Metric.OPEN_CONNECTIONS).incrementAndGet());
  }

  void connectionClosed() {
    counter(Metric.OPEN_CONNECTIONS).decrementAndGet();
  }

  synchronized void recordProbe(long nowNs) {
    increment(Metric.PROBE);
    recentProbesNs.addLast(nowNs);
    while (nowNs - recentProbesNs.getFirst() >= SECOND_NS) {
      recentProbesNs.removeFirst();
    }
    raiseTo(Metric.MOST_PROBES_PER_SECOND, recentProbesNs.size());
  }

  BackendCounts snapshot() {
    return new BackendCounts(
        value(Metric.CALL),
        value(Metric.RUN),
        value(Metric.ANSWERED),
        value(Metric.NOT_RUN),
        value(Metric.CANCELLED),
        value(Metric.DEADLINE_PASSED),
        value(Metric.MOST_IN_FLIGHT),
        value(Metric.OVER_SLOTS),
        value(Metric.OVER_COLD_CAPACITY),
        value(Metric.OVER_COLD_CAPACITY_LATE),
        value(Metric.AFTER_MARK),
        value(Metric.COLLAPSE),
        value(Metric.BAD_UPLOAD),
        value(Metric.PROBE),
        value(Metric.MOST_PROBES_PER_SECOND),
        value(Metric.OPEN_CONNECTIONS),
        value(Metric.MOST_OPEN_CONNECTIONS));
  }

  private long value(Metric metric) {
    return counter(metric).get();
  }

  private AtomicLong counter(Metric metric) {
    return counts.getOrDefault(metric, new AtomicLong());
  }
}
