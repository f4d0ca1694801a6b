package org.cowslipstair.soak.check;

import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

/** Promises that did not hold. Safe for use by many threads. */
public final class Violations {
  private final long startedNs;
  private final Queue<String> texts = new ConcurrentLinkedQueue<>();

  /** Creates an empty list. */
  public Violations(long startedNs) {
    this.startedNs = startedNs;
  }

  /** Adds one. */
  public void add(long atNs, String promise, String what) {
    texts.add("%8.3f s  %s: %s".formatted((atNs - startedNs) / 1e9, promise, what));
  }

  /** Returns all so far. */
  public List<String> texts() {
    return List.copyOf(texts);
  }
}
