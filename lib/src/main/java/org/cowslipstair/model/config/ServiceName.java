package org.cowslipstair.model.config;

/** Name of a service. */
public record ServiceName(String value) implements Comparable<ServiceName> {
  /** Validates that the value is a valid object name. */
  public ServiceName {
    ObjectKey.requireValidName(value);
  }

  @Override
  public int compareTo(ServiceName other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
