package org.cowslipstair.logic.config;

import org.cowslipstair.model.config.ConfigVersion;
import org.cowslipstair.model.config.StoreId;

/** A store in one term; objects of different epochs are never mixed. */
record StoreEpoch(StoreId storeId, long term) {
  static StoreEpoch of(ConfigVersion version) {
    return new StoreEpoch(version.storeId(), version.storeTerm());
  }

  /**
   * Returns whether this epoch replaces the other one: it has the later term or, if an operator
   * accepted two stores in the same term, the greater store ID.
   */
  boolean supersedes(StoreEpoch other) {
    if (term != other.term) {
      return term > other.term;
    }
    return term > 0 && storeId.value().compareTo(other.storeId.value()) > 0;
  }
}
