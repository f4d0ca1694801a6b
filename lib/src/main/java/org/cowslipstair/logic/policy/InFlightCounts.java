package org.cowslipstair.logic.policy;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.cowslipstair.model.config.BackendName;

/** Calls that this gateway has in progress on each backend server. Safe for concurrent use. */
public final class InFlightCounts {
  private final Map<BackendName, AtomicInteger> counts = new ConcurrentHashMap<>();

  /** Returns the number of calls in progress on a backend server. */
  public int count(BackendName backend) {
    AtomicInteger count = counts.get(backend);
    return count == null ? 0 : count.get();
  }

  /** Counts a call as in progress. */
  public void callStarted(BackendName backend) {
    counts.computeIfAbsent(backend, _ -> new AtomicInteger()).incrementAndGet();
  }

  /** Counts a call as ended. */
  public void callEnded(BackendName backend) {
    counts.computeIfAbsent(backend, _ -> new AtomicInteger()).decrementAndGet();
  }
}
