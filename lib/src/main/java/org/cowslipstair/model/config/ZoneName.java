package org.cowslipstair.model.config;

/** Name of an availability zone. */
public record ZoneName(String value) implements Comparable<ZoneName> {
  /** Validates that the value is a valid object name. */
  public ZoneName {
    ObjectKey.requireValidName(value);
  }

  @Override
  public int compareTo(ZoneName other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
