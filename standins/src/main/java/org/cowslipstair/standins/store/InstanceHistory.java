package org.cowslipstair.standins.store;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** History of the instance list, used to return an outdated list. Thread-safe. */
final class InstanceHistory {
  private static final int MAX_SNAPSHOTS = 1_000;
  private final Map<String, StoreInstance> current = new TreeMap<>();
  private final Deque<Snapshot> history = new ArrayDeque<>();

  private record Snapshot(long sinceNs, List<StoreInstance> instances) {}

  synchronized void put(StoreInstance instance, long nowNs) {
    current.put(instance.name(), instance);
    addSnapshot(nowNs);
  }

  synchronized void remove(String name, long nowNs) {
    current.remove(name);
    addSnapshot(nowNs);
  }

  synchronized void replaceAll(List<StoreInstance> instances, long nowNs) {
    current.clear();
    instances.forEach(instance -> current.put(instance.name(), instance));
    addSnapshot(nowNs);
  }

  /** Returns the list at a time; for earlier times the oldest list, empty if none. */
  synchronized List<StoreInstance> at(long timeNs) {
    List<StoreInstance> latest = history.isEmpty() ? List.of() : history.getFirst().instances();
    for (Snapshot snapshot : history) {
      if (snapshot.sinceNs() - timeNs > 0) {
        break;
      }
      latest = snapshot.instances();
    }
    return latest;
  }

  private void addSnapshot(long nowNs) {
    history.addLast(new Snapshot(nowNs, List.copyOf(current.values())));
    if (history.size() > MAX_SNAPSHOTS) {
      history.removeFirst();
    }
  }
}
