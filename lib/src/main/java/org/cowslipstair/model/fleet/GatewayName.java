package org.cowslipstair.model.fleet;

import org.cowslipstair.model.config.ObjectKey;

/** Name of a gateway instance. */
public record GatewayName(String value) implements Comparable<GatewayName> {
  /** Validates that the value is a valid object name. */
  public GatewayName {
    ObjectKey.requireValidName(value);
  }

  @Override
  public int compareTo(GatewayName other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
