package org.cowslipstair.logic.overload.model;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Events in virtual time. */
final class Simulation {
  private static final long NS_PER_MS = 1_000_000L;

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::atMs).thenComparing(Event::sequence));
  private long nowMs;
  private long sequence;

  private record Event(long atMs, long sequence, Runnable action) {}

  long nowMs() {
    return nowMs;
  }

  long nowNs() {
    return nowMs * NS_PER_MS;
  }

  void schedule(long delayMs, Runnable action) {
    events.add(new Event(nowMs + Math.max(0, delayMs), sequence++, action));
  }

  void run(long untilMs) {
    while (!events.isEmpty() && events.peek().atMs() <= untilMs) {
      Event event = events.remove();
      nowMs = event.atMs();
      event.action().run();
    }
  }
}
