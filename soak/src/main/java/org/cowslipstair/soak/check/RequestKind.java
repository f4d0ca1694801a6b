package org.cowslipstair.soak.check;

import java.util.Locale;

/** Kind of a request, which determines how often it may run. */
public enum RequestKind {
  /** May run more than once. */
  SAFE,
  /** Runs at most once. */
  UNSAFE,
  /** Has a long body; runs at most once. */
  UPLOAD;

  /** Returns the first path segment of its route. */
  public String pathSegment() {
    return name().toLowerCase(Locale.ROOT);
  }
}
