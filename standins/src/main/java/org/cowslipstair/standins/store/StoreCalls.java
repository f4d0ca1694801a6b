package org.cowslipstair.standins.store;

import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.LongAdder;

/** Counts of the requests to the store by kind. Thread-safe. */
public final class StoreCalls {
  private final Map<Kind, LongAdder> counts = new EnumMap<>(Kind.class);
  private final AtomicInteger waitingWatches = new AtomicInteger();
  private final AtomicInteger mostWaitingWatches = new AtomicInteger();

  /** Kinds of request. */
  public enum Kind {
    LIST,
    GET,
    PUT,
    DELETE,
    WATCH,
    INSTANCES
  }

  StoreCalls() {
    for (Kind kind : Kind.values()) {
      counts.put(kind, new LongAdder());
    }
  }

  void increment(Kind kind) {
    counts.getOrDefault(kind, new LongAdder()).increment();
  }

  void watchStarted() {
    int waiting = waitingWatches.incrementAndGet();
    mostWaitingWatches.accumulateAndGet(waiting, Math::max);
  }

  void watchFinished() {
    waitingWatches.decrementAndGet();
  }

  /** Returns the number of requests of one kind. */
  public long count(Kind kind) {
    return counts.getOrDefault(kind, new LongAdder()).sum();
  }

  /** Returns the total number of requests. */
  public long total() {
    return counts.values().stream().mapToLong(LongAdder::sum).sum();
  }

  /** Returns the number of watches that are currently waiting. */
  public int waitingWatches() {
    return waitingWatches.get();
  }

  /** Returns all counts by name. */
  public Map<String, Long> toMap() {
    Map<String, Long> map = new TreeMap<>();
    counts.forEach((kind, count) -> map.put(kind.name().toLowerCase(), count.sum()));
    map.put("waitingWatches", (long) waitingWatches.get());
    map.put("mostWaitingWatches", (long) mostWaitingWatches.get());
    return map;
  }
}
