package org.cowslipstair.model.config;

import java.util.Locale;
import java.util.Optional;

/** Policies for selecting a backend server for a call. */
public enum PolicyKind {
  RANDOM,
  ROUND_ROBIN,
  LEAST_IN_FLIGHT,
  PROBING,
  BROKER;

  /** Returns the name used in files, such as {@code round-robin}. */
  public String wireName() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  /** Returns the policy with the given wire name; empty if there is none. */
  public static Optional<PolicyKind> fromWireName(String wireName) {
    for (PolicyKind kind : values()) {
      if (kind.wireName().equals(wireName)) {
        return Optional.of(kind);
      }
    }
    return Optional.empty();
  }
}
