package org.cowslipstair.logic.config;

import java.util.List;
import org.cowslipstair.model.config.RevisionRange;
import org.cowslipstair.model.config.StoreId;
import org.cowslipstair.model.config.StoredObject;

/**
 * All objects written after one revision, up to and including another.
 *
 * @param afterRevision revision that the batch starts after; 0 in a full batch, where an absent
 *     object does not exist
 * @param revision last revision that the batch covers
 * @param lost revisions that the store is known to have lost when it came back from a copy
 */
public record ConfigBatch(
    StoreId storeId,
    long afterRevision,
    long revision,
    List<RevisionRange> lost,
    List<StoredObject> objects) {
  /** Copies the lists. */
  public ConfigBatch {
    lost = List.copyOf(lost);
    objects = List.copyOf(objects);
  }

  /** Creates a batch of a store that never came back from a copy. */
  public ConfigBatch(
      StoreId storeId, long afterRevision, long revision, List<StoredObject> objects) {
    this(storeId, afterRevision, revision, List.of(), objects);
  }

  /** Returns whether the batch contains every object of the store; it may contain tombstones. */
  public boolean isFull() {
    return afterRevision == 0;
  }
}
