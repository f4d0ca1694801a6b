package org.cowslipstair.soak.check;

import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

/** Collects violated rules. Thread-safe. */
public final class Violations {
  private final long startNs;
  private final Queue<String> texts = new ConcurrentLinkedQueue<>();

  /** Creates an empty list. */
  public Violations(long startNs) {
    this.startNs = startNs;
  }

  /** Adds a violation of a rule. */
  public void add(long atNs, String rule, String details) {
    texts.add("%8.3f s  %s: %s".formatted((atNs - startNs) / 1e9, rule, details));
  }

  /** Returns the texts of all violations so far. */
  public List<String> texts() {
    return List.copyOf(texts);
  }
}
