package org.cowslipstair.soak.check;

import java.util.Locale;

/** What may be done with a request. */
public enum RequestKind {
  /** May run more than once. */
  SAFE,
  /** Runs at most once. */
  UNSAFE,
  /** Has a long body; runs at most once. */
  UPLOAD;

  /** Returns the word of its route. */
  public String word() {
    return name().toLowerCase(Locale.ROOT);
  }
}
