package org.cowslipstair.model.config;

/** Name of a backend server. */
public record BackendName(String value) implements Comparable<BackendName> {
  /** Validates that the value is a valid object name. */
  public BackendName {
    ObjectKey.requireValidName(value);
  }

  @Override
  public int compareTo(BackendName other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
