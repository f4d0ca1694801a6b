package org.cowslipstair.runtime.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.cowslipstair.model.config.ObjectKey;
import org.cowslipstair.model.config.ObjectKind;
import org.cowslipstair.model.config.StoreId;
import org.cowslipstair.model.config.StoredObject;
import org.cowslipstair.model.fleet.InstanceEntry;
import org.cowslipstair.port.PlatformStore;
import org.cowslipstair.port.StoreException;

/**
 * In-memory store with blocking watches. Can be down, let every watch hang, or be restored without
 * objects under a new identity.
 */
final class FakePlatformStore implements PlatformStore {
  private final List<StoredObject> objects = new ArrayList<>();
  private StoreId storeId = new StoreId("store-a");
  private long revision;
  private boolean isDown;
  private boolean isBroken;
  private boolean areWatchesHanging;

  synchronized void write(String zone, String state) {
    revision++;
    ObjectKey key = new ObjectKey(ObjectKind.ZONE, zone);
    objects.removeIf(object -> object.key().equals(key));
    objects.add(new StoredObject(key, revision, "c" + revision, false, state));
    notifyAll();
  }

  /** Lets every call end in an error that no port declares. */
  synchronized void setBroken(boolean broken) {
    isBroken = broken;
    notifyAll();
  }

  synchronized void setDown(boolean down) {
    isDown = down;
    notifyAll();
  }

  synchronized void hangWatches() {
    areWatchesHanging = true;
  }

  synchronized void restoreWithoutObjects(String newId) {
    storeId = new StoreId(newId);
    revision = 0;
    objects.clear();
    notifyAll();
  }

  private void requireUp(String operation) throws StoreException {
    if (isBroken) {
      throw new IllegalStateException("unexpected");
    }
    if (isDown) {
      throw new StoreException.Unavailable(operation, "down");
    }
  }

  @Override
  public synchronized ObjectBatch list(Set<ObjectKind> kinds) throws StoreException {
    requireUp("list");
    return new ObjectBatch(storeId, revision, objects);
  }

  @Override
  public synchronized ObjectBatch watch(Set<ObjectKind> kinds, long afterRevision, long timeoutMs)
      throws StoreException {
    long deadlineNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
    while (!isDown
        && (areWatchesHanging || revision == afterRevision)
        && System.nanoTime() < deadlineNs) {
      try {
        TimeUnit.NANOSECONDS.timedWait(this, deadlineNs - System.nanoTime());
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        throw new StoreException.AnswerLost("watch", "interrupted");
      }
    }
    requireUp("watch");
    if (areWatchesHanging) {
      return new ObjectBatch(storeId, afterRevision, List.of());
    }
    if (revision < afterRevision) {
      throw new StoreException.RevisionGone(afterRevision);
    }
    List<StoredObject> newerObjects = new ArrayList<>(objects);
    newerObjects.removeIf(object -> object.version() <= afterRevision);
    return new ObjectBatch(storeId, revision, newerObjects);
  }

  @Override
  public List<InstanceEntry> instances() throws StoreException {
    synchronized (this) {
      requireUp("instances");
    }
    return List.of();
  }

  @Override
  public Optional<StoredObject> get(ObjectKey key) throws StoreException {
    throw new StoreException.Unavailable("get", "not part of this fake");
  }

  @Override
  public StoredObject put(ObjectKey key, String json, long expectedVersion, String changeId)
      throws StoreException {
    throw new StoreException.Unavailable("put", "not part of this fake");
  }

  @Override
  public void delete(ObjectKey key, long expectedVersion, String changeId) throws StoreException {
    throw new StoreException.Unavailable("delete", "not part of this fake");
  }
}
