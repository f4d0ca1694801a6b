package org.cowslipstair.model.tenant;

/** Name of a tenant. */
public record TenantName(String value) {
  /** Validates the name, which goes into header fields as it is. */
  public TenantName {
    boolean isToken =
        !value.isEmpty()
            && value.length() <= 256
            && value.chars().allMatch(c -> c > ' ' && c < 0x7f);
    if (!isToken) {
      throw new IllegalArgumentException("tenant name \"%s\" is not printable".formatted(value));
    }
  }

  @Override
  public String toString() {
    return value;
  }
}
