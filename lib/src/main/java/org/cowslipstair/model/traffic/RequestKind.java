package org.cowslipstair.model.traffic;

/** Whether requests of a route may be executed more than once. */
public enum RequestKind {
  /** May be executed more than once. */
  SAFE,
  /** Executed at most once. */
  UNSAFE,
  /** Executed at most once, with a large body. */
  UPLOAD,
  /** May be executed more than once, with a large response. */
  DOWNLOAD;

  /** Returns whether a request may be executed more than once. */
  public boolean isRepeatable() {
    return this == SAFE || this == DOWNLOAD;
  }
}
