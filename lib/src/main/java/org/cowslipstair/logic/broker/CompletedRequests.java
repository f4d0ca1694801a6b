package org.cowslipstair.logic.broker;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Set;

/** Recently completed acquires, so that a delayed duplicate of one gets no second grant. */
final class CompletedRequests {
  private static final long RETENTION_NS = 5_000_000_000L;
  private final Set<LeaseKey> keys = new HashSet<>();
  private final Deque<Completed> byExpiry = new ArrayDeque<>();

  private record Completed(LeaseKey key, long forgetAtNs) {}

  void add(LeaseKey key, long nowNs) {
    if (keys.add(key)) {
      byExpiry.add(new Completed(key, nowNs + RETENTION_NS));
    }
  }

  boolean contains(LeaseKey key) {
    return keys.contains(key);
  }

  void removeExpired(long nowNs) {
    while (!byExpiry.isEmpty() && byExpiry.peekFirst().forgetAtNs() <= nowNs) {
      keys.remove(byExpiry.removeFirst().key());
    }
  }
}
