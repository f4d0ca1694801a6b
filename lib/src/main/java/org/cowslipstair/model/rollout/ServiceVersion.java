package org.cowslipstair.model.rollout;

/** Version of the software that a backend server runs. */
public record ServiceVersion(String value) {
  /** Validates the version. */
  public ServiceVersion {
    if (value.isEmpty()) {
      throw new IllegalArgumentException("version of a service is empty");
    }
  }

  @Override
  public String toString() {
    return value;
  }
}
