package org.cowslipstair.cli;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.cowslipstair.model.config.ObjectKey;
import org.cowslipstair.model.config.ObjectKind;
import org.cowslipstair.model.config.StoredObject;
import org.cowslipstair.model.fleet.InstanceEntry;
import org.cowslipstair.port.PlatformStore;
import org.cowslipstair.port.StoreException;

/**
 * In-memory store of one object. Calls fail as scripted and succeed once the script is exhausted.
 */
final class FaultyStore implements PlatformStore {
  private final Iterator<Fault> script;
  private final List<StoredObject> versions = new ArrayList<>();

  /** Fault injected into one call. */
  enum Fault {
    NONE,
    REFUSED,
    LOST_BEFORE,
    LOST_AFTER,
    OTHER_WRITES_FIRST,
    LOST_AFTER_THEN_OTHER_WRITES
  }

  FaultyStore(StoredObject first, List<Fault> script) {
    this.script = script.iterator();
    versions.add(first);
  }

  /** Returns all versions of the object, oldest first. */
  List<StoredObject> versions() {
    return List.copyOf(versions);
  }

  private StoredObject current() {
    return versions.getLast();
  }

  private void write(String json, String changeId) {
    StoredObject previous = current();
    versions.add(new StoredObject(previous.key(), previous.version() + 1, changeId, false, json));
  }

  private Fault injectBefore(String operation) throws StoreException {
    Fault fault = script.hasNext() ? script.next() : Fault.NONE;
    switch (fault) {
      case REFUSED -> throw new StoreException.Unavailable(operation, "script");
      case LOST_BEFORE -> throw new StoreException.AnswerLost(operation, "script");
      case OTHER_WRITES_FIRST -> write("{}", "other");
      default -> {}
    }
    return fault;
  }

  private void injectAfter(Fault fault, String operation) throws StoreException {
    boolean isLost = fault == Fault.LOST_AFTER || fault == Fault.LOST_AFTER_THEN_OTHER_WRITES;
    if (fault == Fault.LOST_AFTER_THEN_OTHER_WRITES) {
      write("{}", "other");
    }
    if (isLost) {
      throw new StoreException.AnswerLost(operation, "script");
    }
  }

  @Override
  public Optional<StoredObject> get(ObjectKey key) throws StoreException {
    Fault fault = injectBefore("get");
    Optional<StoredObject> found = Optional.of(current());
    injectAfter(fault, "get");
    return found;
  }

  @Override
  public StoredObject put(ObjectKey key, String json, long expectedVersion, String changeId)
      throws StoreException {
    Fault fault = injectBefore("put");
    if (current().version() != expectedVersion) {
      injectAfter(fault, "put");
      throw new StoreException.VersionConflict(key, expectedVersion, Optional.of(current()));
    }
    write(json, changeId);
    StoredObject written = current();
    injectAfter(fault, "put");
    return written;
  }

  @Override
  public void delete(ObjectKey key, long expectedVersion, String changeId) {
    throw new UnsupportedOperationException("not supported by FaultyStore");
  }

  @Override
  public ObjectBatch list(Set<ObjectKind> kinds) {
    throw new UnsupportedOperationException("not supported by FaultyStore");
  }

  @Override
  public ObjectBatch watch(Set<ObjectKind> kinds, long afterRevision, long timeoutMs) {
    throw new UnsupportedOperationException("not supported by FaultyStore");
  }

  @Override
  public List<InstanceEntry> instances() {
    throw new UnsupportedOperationException("not supported by FaultyStore");
  }
}
