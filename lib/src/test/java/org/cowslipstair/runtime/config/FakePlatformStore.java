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

/** A store in memory whose watch waits, and which can be down or restored. */
final class FakePlatformStore implements PlatformStore {
  private final List<StoredObject> objects = new ArrayList<>();
  private StoreId id = new StoreId("store-a");
  private long revision;
  private boolean down;
  private boolean watchStuck;

  synchronized void write(String zone, String state) {
    revision++;
    ObjectKey key = new ObjectKey(ObjectKind.ZONE, zone);
    objects.removeIf(object -> object.key().equals(key));
    objects.add(new StoredObject(key, revision, "c" + revision, false, state));
    notifyAll();
  }

  synchronized void setDown(boolean isDown) {
    down = isDown;
    notifyAll();
  }

  synchronized void setWatchStuck() {
    watchStuck = true;
  }

  synchronized void restoreEmpty(String newId) {
    id = new StoreId(newId);
    revision = 0;
    objects.clear();
    notifyAll();
  }

  private void requireUp(String operation) throws StoreException {
    if (down) {
      throw new StoreException.Unavailable(operation, "down");
    }
  }

  @Override
  public synchronized ObjectBatch list(Set<ObjectKind> kinds) throws StoreException {
    requireUp("list");
    return new ObjectBatch(id, revision, objects);
  }

  @Override
  public synchronized ObjectBatch watch(Set<ObjectKind> kinds, long afterRevision, long timeoutMs)
      throws StoreException {
    long deadlineNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
    while (!down && (watchStuck || revision == afterRevision) && System.nanoTime() < deadlineNs) {
      try {
        TimeUnit.NANOSECONDS.timedWait(this, deadlineNs - System.nanoTime());
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        throw new StoreException.AnswerLost("watch", "interrupted");
      }
    }
    requireUp("watch");
    if (watchStuck) {
      return new ObjectBatch(id, afterRevision, List.of());
    }
    if (revision < afterRevision) {
      throw new StoreException.RevisionGone(afterRevision);
    }
    List<StoredObject> newer = new ArrayList<>(objects);
    newer.removeIf(object -> object.version() <= afterRevision);
    return new ObjectBatch(id, revision, newer);
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
