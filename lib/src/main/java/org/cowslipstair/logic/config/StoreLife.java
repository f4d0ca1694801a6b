package org.cowslipstair.logic.config;

import org.cowslipstair.model.config.ConfigVersion;
import org.cowslipstair.model.config.StoreId;

/** A store in one term; objects of different lives are never mixed. */
record StoreLife(StoreId storeId, long term) {
  static StoreLife of(ConfigVersion version) {
    return new StoreLife(version.storeId(), version.storeTerm());
  }

  /** Returns whether an operator accepted this life after the other one. */
  boolean supersedes(StoreLife other) {
    if (term != other.term) {
      return term > other.term;
    }
    return term > 0 && storeId.value().compareTo(other.storeId.value()) > 0;
  }
}
