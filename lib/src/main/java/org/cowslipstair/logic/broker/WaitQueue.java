package org.cowslipstair.logic.broker;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.cowslipstair.model.config.BackendName;
import org.cowslipstair.model.fleet.GatewayId;

/** Acquires that wait for a slot, earliest deadline first. */
final class WaitQueue {
  private final TreeSet<QueuedAcquire> byDeadline =
      new TreeSet<>(
          Comparator.comparingLong(QueuedAcquire::deadlineNs)
              .thenComparingLong(QueuedAcquire::sequence));
  private final Map<LeaseKey, QueuedAcquire> byKey = new HashMap<>();
  private long nextSequence;

  /** One waiting acquire. */
  record QueuedAcquire(
      LeaseKey key, long remainingNs, long deadlineNs, long sequence, Set<BackendName> excluded) {}

  void add(LeaseKey key, long remainingNs, long deadlineNs, Set<BackendName> excluded) {
    QueuedAcquire queued = new QueuedAcquire(key, remainingNs, deadlineNs, nextSequence, excluded);
    nextSequence++;
    byKey.put(key, queued);
    byDeadline.add(queued);
  }

  boolean contains(LeaseKey key) {
    return byKey.containsKey(key);
  }

  Optional<QueuedAcquire> remove(LeaseKey key) {
    QueuedAcquire queued = byKey.remove(key);
    if (queued != null) {
      byDeadline.remove(queued);
    }
    return Optional.ofNullable(queued);
  }

  /** Removes the acquires of a gateway with request numbers below the given one. */
  void removeNumberedBelow(GatewayId holder, long requestNumber) {
    for (QueuedAcquire queued : inServiceOrder()) {
      LeaseKey key = queued.key();
      if (key.holder().equals(holder) && key.requestNumber() < requestNumber) {
        remove(key);
      }
    }
  }

  /** Removes and returns the acquires whose deadline is at or before the given time. */
  List<QueuedAcquire> removeExpired(long timeNs) {
    List<QueuedAcquire> expired = new ArrayList<>();
    while (!byDeadline.isEmpty() && byDeadline.first().deadlineNs() <= timeNs) {
      QueuedAcquire queued = byDeadline.first();
      remove(queued.key());
      expired.add(queued);
    }
    return expired;
  }

  /** Returns how many acquires would be served before a new one with the given deadline. */
  int countAhead(long deadlineNs) {
    int ahead = 0;
    for (QueuedAcquire queued : byDeadline) {
      if (queued.deadlineNs() > deadlineNs) {
        break;
      }
      ahead++;
    }
    return ahead;
  }

  /** Returns a copy of the queue, next to be served first. */
  List<QueuedAcquire> inServiceOrder() {
    return List.copyOf(byDeadline);
  }

  int size() {
    return byKey.size();
  }

  void clear() {
    byKey.clear();
    byDeadline.clear();
  }
}
