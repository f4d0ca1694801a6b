package org.cowslipstair.model.config;

/** Identifies an instance of the platform's store; a restored store has another ID. */
public record StoreId(String value) {
  @Override
  public String toString() {
    return value;
  }
}
