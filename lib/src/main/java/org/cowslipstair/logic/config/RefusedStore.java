package org.cowslipstair.logic.config;

import org.cowslipstair.model.config.StoreId;

/** A refused batch of a store, with the reason. */
public record RefusedStore(StoreId storeId, long revision, Reason reason) {
  /** Why a batch of a store is refused. */
  public enum Reason {
    /** The store ID differs from the one in force. */
    OTHER_IDENTITY,
    /** The revision of the store is older than the one in force. */
    OLDER_REVISION,
    /** The store has different objects at revisions that are already in force. */
    OTHER_HISTORY
  }
}
