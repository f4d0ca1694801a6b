package org.cowslipstair.logic.config;

import org.cowslipstair.model.config.StoreId;

/** Answer of a store that was refused, and why. */
public record RefusedStore(StoreId storeId, long revision, Reason reason) {
  /** Why an answer of a store is refused. */
  public enum Reason {
    /** The store has another identity than the one in force. */
    OTHER_IDENTITY,
    /** The store is at an older revision than the one in force. */
    OLDER_REVISION,
    /** The store holds other objects at revisions that are in force already. */
    OTHER_HISTORY
  }
}
