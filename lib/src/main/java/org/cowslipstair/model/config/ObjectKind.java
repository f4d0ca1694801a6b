package org.cowslipstair.model.config;

import java.util.Locale;
import java.util.Optional;

/** Kinds of object that the platform's store keeps for this system. */
public enum ObjectKind {
  ZONE,
  BACKEND_SERVER,
  SERVICE,
  ROUTING_RULE,
  /** Record that one idempotency key has been used; not part of the configuration. */
  ATTEMPT;

  /** Returns the name used in files and on the wire, such as {@code backend-server}. */
  public String wireName() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  /** Finds a kind by its wire name. */
  public static Optional<ObjectKind> fromWireName(String wireName) {
    for (ObjectKind kind : values()) {
      if (kind.wireName().equals(wireName)) {
        return Optional.of(kind);
      }
    }
    return Optional.empty();
  }

  /** Returns whether objects of this kind belong to the configuration that gateways watch. */
  public boolean isConfiguration() {
    return this != ATTEMPT;
  }
}
