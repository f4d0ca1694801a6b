package org.cowslipstair.port;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.cowslipstair.model.config.ObjectKey;
import org.cowslipstair.model.config.ObjectKind;
import org.cowslipstair.model.config.StoreId;
import org.cowslipstair.model.config.StoredObject;
import org.cowslipstair.model.fleet.InstanceEntry;

/** The platform's object store. Calls block and are made from virtual threads. */
public interface PlatformStore {
  /** Lists all objects of some kinds. */
  ObjectBatch list(Set<ObjectKind> kinds) throws StoreException;

  /** Reads one object. */
  Optional<StoredObject> get(ObjectKey key) throws StoreException;

  /**
   * Writes an object.
   *
   * @param expectedVersion version that the object must have, 0 if it must not exist
   * @param changeId identifies this write
   */
  StoredObject put(ObjectKey key, String json, long expectedVersion, String changeId)
      throws StoreException;

  /** Deletes an object that has the expected version. */
  void delete(ObjectKey key, long expectedVersion, String changeId) throws StoreException;

  /**
   * Waits for objects written after a revision; returns an empty batch when none came in time.
   *
   * @param timeoutMs longest wait
   */
  ObjectBatch watch(Set<ObjectKind> kinds, long afterRevision, long timeoutMs)
      throws StoreException;

  /** Returns the platform's lagging list of gateways. */
  List<InstanceEntry> instances() throws StoreException;

  /**
   * Objects as of one revision; tombstones included in a watch.
   *
   * @param revision revision of the store
   */
  record ObjectBatch(StoreId storeId, long revision, List<StoredObject> objects) {
    /** Copies the list. */
    public ObjectBatch {
      objects = List.copyOf(objects);
    }
  }
}
