package org.cowslipstair.logic.broker;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Set;

/** Requests that were answered for good a short time ago, so that a late copy gets no new grant. */
final class CompletedRequests {
  private static final long KEEP_NS = 5_000_000_000L;
  private final Set<LeaseKey> keys = new HashSet<>();
  private final Deque<Completed> order = new ArrayDeque<>();

  private record Completed(LeaseKey key, long forgetAtNs) {}

  void add(LeaseKey key, long nowNs) {
    if (keys.add(key)) {
      order.add(new Completed(key, nowNs + KEEP_NS));
    }
  }

  boolean contains(LeaseKey key) {
    return keys.contains(key);
  }

  void forgetOld(long nowNs) {
    while (!order.isEmpty() && order.peekFirst().forgetAtNs() <= nowNs) {
      keys.remove(order.removeFirst().key());
    }
  }
}
