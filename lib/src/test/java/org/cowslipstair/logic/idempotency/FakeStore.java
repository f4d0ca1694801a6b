package org.cowslipstair.logic.idempotency;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import org.cowslipstair.model.config.ObjectKey;
import org.cowslipstair.model.config.ObjectKind;
import org.cowslipstair.model.config.StoreId;
import org.cowslipstair.model.config.StoredObject;
import org.cowslipstair.model.fleet.InstanceEntry;
import org.cowslipstair.port.PlatformStore;
import org.cowslipstair.port.StoreException;

/** In-memory store that injects one configurable fault per call. */
public final class FakeStore implements PlatformStore {
  /** Fault injected into one call. */
  public enum Fault {
    NONE,
    UNAVAILABLE,
    LOST_BEFORE_WRITE,
    LOST_AFTER_WRITE
  }

  private final Map<ObjectKey, StoredObject> objects = new TreeMap<>();
  private long revision;
  public volatile Supplier<Fault> faults = () -> Fault.NONE;
  public volatile Runnable beforeCall = () -> {};
  public final AtomicInteger calls = new AtomicInteger();

  @Override
  public synchronized ObjectBatch list(Set<ObjectKind> kinds) throws StoreException {
    failIfLost("list", begin("list"));
    List<StoredObject> found = new ArrayList<>();
    for (StoredObject object : objects.values()) {
      if (kinds.contains(object.key().kind())) {
        found.add(object);
      }
    }
    return new ObjectBatch(new StoreId("fake"), revision, found);
  }

  @Override
  public Optional<StoredObject> get(ObjectKey key) throws StoreException {
    failIfLost("get", begin("get"));
    synchronized (this) {
      return Optional.ofNullable(objects.get(key));
    }
  }

  @Override
  public StoredObject put(ObjectKey key, String json, long expectedVersion, String changeId)
      throws StoreException {
    Fault fault = begin("put");
    if (fault == Fault.LOST_BEFORE_WRITE) {
      throw new StoreException.AnswerLost("put", "test");
    }
    StoredObject stored = write(key, json, expectedVersion, changeId);
    failIfLost("put", fault);
    return stored;
  }

  private synchronized StoredObject write(
      ObjectKey key, String json, long expectedVersion, String changeId) throws StoreException {
    requireVersion(key, expectedVersion);
    revision++;
    StoredObject stored = new StoredObject(key, revision, changeId, false, json);
    objects.put(key, stored);
    return stored;
  }

  @Override
  public void delete(ObjectKey key, long expectedVersion, String changeId) throws StoreException {
    Fault fault = begin("delete");
    if (fault != Fault.LOST_BEFORE_WRITE) {
      synchronized (this) {
        requireVersion(key, expectedVersion);
        objects.remove(key);
      }
    }
    failIfLost("delete", fault);
  }

  @Override
  public ObjectBatch watch(Set<ObjectKind> kinds, long afterRevision, long timeoutMs) {
    throw new UnsupportedOperationException();
  }

  @Override
  public List<InstanceEntry> instances() {
    throw new UnsupportedOperationException();
  }

  /** Returns the number of stored objects. */
  public synchronized int size() {
    return objects.size();
  }

  private Fault begin(String operation) throws StoreException {
    calls.incrementAndGet();
    beforeCall.run();
    Fault fault = faults.get();
    if (fault == Fault.UNAVAILABLE) {
      throw new StoreException.Unavailable(operation, "test");
    }
    return fault;
  }

  private void requireVersion(ObjectKey key, long expected) throws StoreException {
    Optional<StoredObject> current = Optional.ofNullable(objects.get(key));
    if (current.map(StoredObject::version).orElse(0L) != expected) {
      throw new StoreException.VersionConflict(key, expected, current);
    }
  }

  private static void failIfLost(String operation, Fault fault) throws StoreException {
    if (fault != Fault.NONE) {
      throw new StoreException.AnswerLost(operation, "test");
    }
  }
}
