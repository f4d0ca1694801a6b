package org.cowslipstair.model.config;

import java.util.Locale;
import java.util.Optional;

/** Kinds of objects that this system has in the platform's store. */
public enum ObjectKind {
  ZONE,
  BACKEND_SERVER,
  SERVICE,
  ROUTING_RULE,
  /** Marks an idempotency key as used; not part of the configuration. */
  ATTEMPT;

  /** Returns the name used in files and on the wire, such as {@code backend-server}. */
  public String wireName() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  /** Returns the kind with the given wire name; empty if there is none. */
  public static Optional<ObjectKind> fromWireName(String wireName) {
    for (ObjectKind kind : values()) {
      if (kind.wireName().equals(wireName)) {
        return Optional.of(kind);
      }
    }
    return Optional.empty();
  }

  /** Returns whether objects of this kind are part of the configuration that gateways watch. */
  public boolean isConfiguration() {
    return this != ATTEMPT;
  }
}
