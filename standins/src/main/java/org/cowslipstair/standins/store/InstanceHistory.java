package org.cowslipstair.standins.store;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The list of instances over time, so that a lagging list can be shown. */
final class InstanceHistory {
  private static final int MAX_KEPT_LISTS = 1_000;
  private final Map<String, StoreInstance> current = new TreeMap<>();
  private final Deque<Entry> history = new ArrayDeque<>();

  private record Entry(long sinceNs, List<StoreInstance> instances) {}

  synchronized void put(StoreInstance instance, long nowNs) {
    current.put(instance.name(), instance);
    record(nowNs);
  }

  synchronized void remove(String name, long nowNs) {
    current.remove(name);
    record(nowNs);
  }

  synchronized void replaceAll(List<StoreInstance> instances, long nowNs) {
    current.clear();
    instances.forEach(instance -> current.put(instance.name(), instance));
    record(nowNs);
  }

  /** Returns the list as it was at a time; the oldest known list for times before it. */
  synchronized List<StoreInstance> at(long timeNs) {
    List<StoreInstance> found = history.isEmpty() ? List.of() : history.getFirst().instances();
    for (Entry entry : history) {
      if (entry.sinceNs() - timeNs > 0) {
        break;
      }
      found = entry.instances();
    }
    return found;
  }

  private void record(long nowNs) {
    history.addLast(new Entry(nowNs, List.copyOf(current.values())));
    if (history.size() > MAX_KEPT_LISTS) {
      history.removeFirst();
    }
  }
}
