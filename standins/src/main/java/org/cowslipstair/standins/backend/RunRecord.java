package org.cowslipstair.standins.backend;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Number of runs per request id across several backend servers. When the backend servers of one
 * trial share it, it finds calls that ran twice on different ones. Thread-safe.
 */
public final class RunRecord {
  private final Map<String, Runs> runs = new ConcurrentHashMap<>();

  private record Runs(int count, boolean idempotent) {
    Runs combine(Runs other) {
      return new Runs(count + other.count, idempotent && other.idempotent);
    }
  }

  void recordRun(String requestId, boolean idempotent) {
    runs.merge(requestId, new Runs(1, idempotent), Runs::combine);
  }

  /** Returns how often a call ran; 0 for an unknown request id. */
  public int runs(String requestId) {
    Runs recorded = runs.get(requestId);
    return recorded == null ? 0 : recorded.count();
  }

  /** Returns the sorted ids of the calls that are not idempotent and ran more than once. */
  public List<String> nonIdempotentRepeats() {
    return runs.entrySet().stream()
        .filter(entry -> !entry.getValue().idempotent() && entry.getValue().count() > 1)
        .map(Map.Entry::getKey)
        .sorted()
        .toList();
  }

  /** Returns the number of distinct request ids. */
  public int size() {
    return runs.size();
  }

  /** Removes all recorded runs. */
  public void clear() {
    runs.clear();
  }
}
