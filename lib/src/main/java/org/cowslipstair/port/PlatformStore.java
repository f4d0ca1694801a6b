package org.cowslipstair.port;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.cowslipstair.model.config.ObjectKey;
import org.cowslipstair.model.config.ObjectKind;
import org.cowslipstair.model.config.RevisionRange;
import org.cowslipstair.model.config.StoreId;
import org.cowslipstair.model.config.StoredObject;
import org.cowslipstair.model.fleet.InstanceEntry;

/** Client of the platform's object store. Methods block; call them on virtual threads. */
public interface PlatformStore {
  /** Returns all objects of the given kinds, and some tombstones. */
  ObjectBatch list(Set<ObjectKind> kinds) throws StoreException;

  /** Returns one object; empty if it does not exist. */
  Optional<StoredObject> get(ObjectKey key) throws StoreException;

  /**
   * Writes an object.
   *
   * @param expectedVersion version that the object must have; 0 if it must not exist
   * @param changeId unique ID of this write
   */
  StoredObject put(ObjectKey key, String json, long expectedVersion, String changeId)
      throws StoreException;

  /** Deletes an object if it has the expected version. */
  void delete(ObjectKey key, long expectedVersion, String changeId) throws StoreException;

  /**
   * Waits for objects written after a revision; returns an empty batch if there were none in time.
   *
   * @param timeoutMs maximum time to wait
   */
  ObjectBatch watch(Set<ObjectKind> kinds, long afterRevision, long timeoutMs)
      throws StoreException;

  /** Returns the platform's list of gateway instances, which may be out of date. */
  List<InstanceEntry> instances() throws StoreException;

  /**
   * Result of a list or a watch.
   *
   * @param revision revision of the store that the result reflects
   * @param lost revisions that the store lost each time that it came back from a copy
   * @param objects objects; a watch includes tombstones, a list those of objects deleted since the
   *     store last came back from a copy
   */
  record ObjectBatch(
      StoreId storeId, long revision, List<RevisionRange> lost, List<StoredObject> objects) {
    /** Copies the lists. */
    public ObjectBatch {
      lost = List.copyOf(lost);
      objects = List.copyOf(objects);
    }

    /** Creates the result of a store that never came back from a copy. */
    public ObjectBatch(StoreId storeId, long revision, List<StoredObject> objects) {
      this(storeId, revision, List.of(), objects);
    }
  }
}
