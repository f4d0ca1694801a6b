package org.cowslipstair.logic.config;

import java.util.List;
import org.cowslipstair.model.config.StoreId;
import org.cowslipstair.model.config.StoredObject;

/**
 * Every object written after one revision, up to and with another.
 *
 * @param afterRevision revision that the objects build on; 0 if all objects are there, so that an
 *     absent one does not exist
 * @param revision revision that the objects lead to
 */
public record ConfigBatch(
    StoreId storeId, long afterRevision, long revision, List<StoredObject> objects) {
  /** Copies the list. */
  public ConfigBatch {
    objects = List.copyOf(objects);
  }

  /** Returns whether absent objects do not exist. */
  public boolean isWhole() {
    return afterRevision == 0;
  }
}
