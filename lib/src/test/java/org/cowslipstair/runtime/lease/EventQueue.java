package org.cowslipstair.runtime.lease;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.PriorityQueue;

/** Event queue in virtual time. Runs events in order of their times, then of their scheduling. */
final class EventQueue {
  static final long NS_PER_MS = 1_000_000L;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::atNs).thenComparingLong(Event::sequence));
  private static final int MAX_TRACE_LINES = 400;
  private final Deque<String> trace = new ArrayDeque<>();
  private long nowNs;
  private long nextSequence;

  private record Event(long atNs, long sequence, Runnable task) {}

  long nowNs() {
    return nowNs;
  }

  /** Records an event for the report of a failure; keeps only the most recent ones. */
  void trace(String subject, Object event) {
    if (trace.size() >= MAX_TRACE_LINES) {
      trace.removeFirst();
    }
    trace.add("%.3f ms %s %s".formatted((double) nowNs / NS_PER_MS, subject, event));
  }

  List<String> recentTrace() {
    return List.copyOf(trace);
  }

  void schedule(long delayNs, Runnable task) {
    events.add(new Event(nowNs + delayNs, nextSequence, task));
    nextSequence++;
  }

  /** Runs all events up to and including a time. */
  void runUntil(long untilNs) {
    while (!events.isEmpty() && events.peek().atNs() <= untilNs) {
      Event event = events.remove();
      nowNs = event.atNs();
      event.task().run();
    }
    nowNs = untilNs;
  }
}
