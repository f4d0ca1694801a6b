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
 * Store of one object in memory whose calls fail by a script and work when the script has ended.
 */
final class FaultyStore implements PlatformStore {
  private final Iterator<Fault> script;
  private final List<StoredObject> history = new ArrayList<>();

  /** What happens to one call. */
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
    history.add(first);
  }

  /** Returns all states of the object, oldest first. */
  List<StoredObject> history() {
    return List.copyOf(history);
  }

  private StoredObject current() {
    return history.getLast();
  }

  private void write(String json, String changeId) {
    StoredObject now = current();
    history.add(new StoredObject(now.key(), now.version() + 1, changeId, false, json));
  }

  private Fault before(String operation) throws StoreException {
    Fault fault = script.hasNext() ? script.next() : Fault.NONE;
    switch (fault) {
      case REFUSED -> throw new StoreException.Unavailable(operation, "script");
      case LOST_BEFORE -> throw new StoreException.AnswerLost(operation, "script");
      case OTHER_WRITES_FIRST -> write("{}", "other");
      default -> {}
    }
    return fault;
  }

  private void after(Fault fault, String operation) throws StoreException {
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
    Fault fault = before("get");
    Optional<StoredObject> found = Optional.of(current());
    after(fault, "get");
    return found;
  }

  @Override
  public StoredObject put(ObjectKey key, String json, long expectedVersion, String changeId)
      throws StoreException {
    Fault fault = before("put");
    if (current().version() != expectedVersion) {
      after(fault, "put");
      throw new StoreException.VersionConflict(key, expectedVersion, Optional.of(current()));
    }
    write(json, changeId);
    StoredObject written = current();
    after(fault, "put");
    return written;
  }

  @Override
  public void delete(ObjectKey key, long expectedVersion, String changeId) {
    throw new UnsupportedOperationException("the script covers writes only");
  }

  @Override
  public ObjectBatch list(Set<ObjectKind> kinds) {
    throw new UnsupportedOperationException("the script covers writes only");
  }

  @Override
  public ObjectBatch watch(Set<ObjectKind> kinds, long afterRevision, long timeoutMs) {
    throw new UnsupportedOperationException("the script covers writes only");
  }

  @Override
  public List<InstanceEntry> instances() {
    throw new UnsupportedOperationException("the script covers writes only");
  }
}
