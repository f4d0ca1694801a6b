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
  private final TreeSet<Waiter> byDeadline =
      new TreeSet<>(
          Comparator.comparingLong(Waiter::deadlineNs).thenComparingLong(Waiter::sequence));
  private final Map<LeaseKey, Waiter> byKey = new HashMap<>();
  private long nextSequence;

  /** One waiting acquire. */
  record Waiter(
      LeaseKey key, long remainingNs, long deadlineNs, long sequence, Set<BackendName> excluded) {}

  void add(LeaseKey key, long remainingNs, long deadlineNs, Set<BackendName> excluded) {
    Waiter waiter = new Waiter(key, remainingNs, deadlineNs, nextSequence, excluded);
    nextSequence++;
    byKey.put(key, waiter);
    byDeadline.add(waiter);
  }

  boolean contains(LeaseKey key) {
    return byKey.containsKey(key);
  }

  Optional<Waiter> remove(LeaseKey key) {
    Waiter waiter = byKey.remove(key);
    if (waiter != null) {
      byDeadline.remove(waiter);
    }
    return Optional.ofNullable(waiter);
  }

  /** Removes the acquires of a gateway that have a lower request number. */
  void removeBelow(GatewayId holder, long requestNumber) {
    for (Waiter waiter : inOrder()) {
      LeaseKey key = waiter.key();
      if (key.holder().equals(holder) && key.requestNumber() < requestNumber) {
        remove(key);
      }
    }
  }

  /** Removes and returns the acquires whose deadline comes before a time. */
  List<Waiter> removePassed(long nowNs) {
    List<Waiter> passed = new ArrayList<>();
    while (!byDeadline.isEmpty() && byDeadline.first().deadlineNs() <= nowNs) {
      Waiter waiter = byDeadline.first();
      remove(waiter.key());
      passed.add(waiter);
    }
    return passed;
  }

  /** Returns how many acquires would be served before one with the given deadline. */
  int ahead(long deadlineNs) {
    int ahead = 0;
    for (Waiter waiter : byDeadline) {
      if (waiter.deadlineNs() > deadlineNs) {
        break;
      }
      ahead++;
    }
    return ahead;
  }

  /** Returns a copy in the order of service. */
  List<Waiter> inOrder() {
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
