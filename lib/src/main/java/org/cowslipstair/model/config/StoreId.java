package org.cowslipstair.model.config;

/** Identity of one life of the platform's store; a restored store has another one. */
public record StoreId(String value) {
  @Override
  public String toString() {
    return value;
  }
}
