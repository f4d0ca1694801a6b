package org.cowslipstair.logic.config;

import java.util.List;
import org.cowslipstair.model.config.StoreId;
import org.cowslipstair.model.config.StoredObject;

/**
 * All objects written after one revision, up to and including another.
 *
 * @param afterRevision revision that the batch starts after; 0 in a full batch, where an absent
 *     object does not exist
 * @param revision last revision that the batch covers
 */
public record ConfigBatch(
    StoreId storeId, long afterRevision, long revision, List<StoredObject> objects) {
  /** Copies the list. */
  public ConfigBatch {
    objects = List.copyOf(objects);
  }

  /** Returns whether the batch contains every object of the store. */
  public boolean isFull() {
    return afterRevision == 0;
  }
}
