package org.cowslipstair.model.traffic;

/** How often a request of a route may run. */
public enum RequestKind {
  /** May run more than once. */
  SAFE,
  /** Runs at most once. */
  UNSAFE,
  /** Runs at most once and has a large body. */
  UPLOAD;

  /** Returns whether a request may run more than once. */
  public boolean isRepeatable() {
    return this == SAFE;
  }
}
