package org.cowslipstair.standins.backend;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Runs by request id over any number of backend servers. Shared by those of one trial, it finds
 * calls that ran twice on different ones.
 */
public final class RunRecord {
  private final Map<String, Runs> runs = new ConcurrentHashMap<>();

  private record Runs(int count, boolean idempotent) {
    Runs plus(Runs other) {
      return new Runs(count + other.count, idempotent && other.idempotent);
    }
  }

  void started(String requestId, boolean idempotent) {
    runs.merge(requestId, new Runs(1, idempotent), Runs::plus);
  }

  /** Returns how often a call was run. */
  public int runs(String requestId) {
    Runs found = runs.get(requestId);
    return found == null ? 0 : found.count();
  }

  /** Returns the ids of calls that are not idempotent and were run more than once. */
  public List<String> nonIdempotentRepeats() {
    return runs.entrySet().stream()
        .filter(entry -> !entry.getValue().idempotent() && entry.getValue().count() > 1)
        .map(Map.Entry::getKey)
        .sorted()
        .toList();
  }

  /** Returns the number of different request ids. */
  public int size() {
    return runs.size();
  }

  /** Forgets all runs. */
  public void clear() {
    runs.clear();
  }
}
