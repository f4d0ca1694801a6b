package org.cowslipstair.cli;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.cowslipstair.model.config.ObjectKey;
import org.cowslipstair.model.config.ObjectKind;
import org.cowslipstair.model.config.StoredObject;
import org.cowslipstair.model.fleet.InstanceEntry;
import org.cowslipstair.port.PlatformStore;
import org.cowslipstair.port.StoreException;

/** Store wrapper that runs an action immediately before each write, to simulate a race. */
record RacingStore(PlatformStore store, Runnable beforeWrite) implements PlatformStore {
  @Override
  public ObjectBatch list(Set<ObjectKind> kinds) throws StoreException {
    return store.list(kinds);
  }

  @Override
  public Optional<StoredObject> get(ObjectKey key) throws StoreException {
    return store.get(key);
  }

  @Override
  public StoredObject put(ObjectKey key, String json, long expectedVersion, String changeId)
      throws StoreException {
    beforeWrite.run();
    return store.put(key, json, expectedVersion, changeId);
  }

  @Override
  public void delete(ObjectKey key, long expectedVersion, String changeId) throws StoreException {
    beforeWrite.run();
    store.delete(key, expectedVersion, changeId);
  }

  @Override
  public ObjectBatch watch(Set<ObjectKind> kinds, long afterRevision, long timeoutMs)
      throws StoreException {
    return store.watch(kinds, afterRevision, timeoutMs);
  }

  @Override
  public List<InstanceEntry> instances() throws StoreException {
    return store.instances();
  }
}
