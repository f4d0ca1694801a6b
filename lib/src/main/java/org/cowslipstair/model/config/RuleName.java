package org.cowslipstair.model.config;

/** Name of a routing rule. */
public record RuleName(String value) implements Comparable<RuleName> {
  /** Validates that the value is a valid object name. */
  public RuleName {
    ObjectKey.requireValidName(value);
  }

  @Override
  public int compareTo(RuleName other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
