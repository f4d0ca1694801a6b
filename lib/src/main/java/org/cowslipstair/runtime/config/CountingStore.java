package org.cowslipstair.runtime.config;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.LongAdder;
import org.cowslipstair.model.config.ObjectKey;
import org.cowslipstair.model.config.ObjectKind;
import org.cowslipstair.model.config.StoredObject;
import org.cowslipstair.model.fleet.InstanceEntry;
import org.cowslipstair.port.PlatformStore;
import org.cowslipstair.port.StoreException;

/** Counts the calls to a store by operation. */
public final class CountingStore implements PlatformStore {
  private final PlatformStore store;
  private final LongAdder lists = new LongAdder();
  private final LongAdder watches = new LongAdder();
  private final LongAdder instances = new LongAdder();
  private final LongAdder gets = new LongAdder();
  private final LongAdder puts = new LongAdder();
  private final LongAdder deletes = new LongAdder();
  private final LongAdder failed = new LongAdder();

  /** Wraps a store. */
  public CountingStore(PlatformStore store) {
    this.store = store;
  }

  /** A call to the store. */
  @FunctionalInterface
  private interface StoreCall<T> {
    T run() throws StoreException;
  }

  private <T> T count(LongAdder counter, StoreCall<T> call) throws StoreException {
    counter.increment();
    try {
      return call.run();
    } catch (StoreException e) {
      failed.increment();
      throw e;
    }
  }

  /** Returns the counts since the creation of this wrapper. */
  public StoreCallCounts counts() {
    return new StoreCallCounts(
        lists.sum(),
        watches.sum(),
        instances.sum(),
        gets.sum(),
        puts.sum(),
        deletes.sum(),
        failed.sum());
  }

  @Override
  public ObjectBatch list(Set<ObjectKind> kinds) throws StoreException {
    return count(lists, () -> store.list(kinds));
  }

  @Override
  public Optional<StoredObject> get(ObjectKey key) throws StoreException {
    return count(gets, () -> store.get(key));
  }

  @Override
  public StoredObject put(ObjectKey key, String json, long expectedVersion, String changeId)
      throws StoreException {
    return count(puts, () -> store.put(key, json, expectedVersion, changeId));
  }

  @Override
  public void delete(ObjectKey key, long expectedVersion, String changeId) throws StoreException {
    deletes.increment();
    try {
      store.delete(key, expectedVersion, changeId);
    } catch (StoreException e) {
      failed.increment();
      throw e;
    }
  }

  @Override
  public ObjectBatch watch(Set<ObjectKind> kinds, long afterRevision, long timeoutMs)
      throws StoreException {
    return count(watches, () -> store.watch(kinds, afterRevision, timeoutMs));
  }

  @Override
  public List<InstanceEntry> instances() throws StoreException {
    return count(instances, store::instances);
  }
}
