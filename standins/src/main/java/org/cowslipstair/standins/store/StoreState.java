package org.cowslipstair.standins.store;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.BooleanSupplier;
import org.jspecify.annotations.Nullable;

/** Objects, revisions and events of the store. Thread-safe. */
final class StoreState {
  private static final int MAX_RETAINED_EVENTS = 10_000;
  private static final int MAX_RETURNS = 16;
  private static final long STUCK_WATCH_POLL_MS = 20;

  private final ReentrantLock lock = new ReentrantLock();
  private final Condition stateChanged = lock.newCondition();
  private final Map<String, StoreObject> objects = new TreeMap<>();
  private final Deque<StoreObject> events = new ArrayDeque<>();
  private String storeId = UUID.randomUUID().toString();
  private long epoch;
  private long revision;
  private List<Return> returns = List.of();
  private long oldestRevision;

  /**
   * Objects at one revision.
   *
   * @param epoch number of times that the store has come back from a copy under this identity
   * @param returns the returns that its history contains, oldest first
   */
  record Batch(
      String storeId, long epoch, long revision, List<Return> returns, List<StoreObject> objects) {}

  /**
   * A return from a copy.
   *
   * @param epoch epoch that began with it
   * @param copyEpoch epoch of the last write in the copy
   * @param copyRevision revision of the last write in the copy
   */
  record Return(long epoch, long copyEpoch, long copyRevision) {}

  /**
   * Version that an object must have to be written.
   *
   * @param epoch epoch of the version; empty if any will do
   * @param version version; 0 if the object must not exist
   */
  record ExpectedVersion(Optional<Long> epoch, long version) {
    private boolean matches(@Nullable StoreObject object) {
      if (object == null) {
        return version == 0;
      }
      return object.version() == version
          && epoch.filter(expected -> expected != object.epoch()).isEmpty();
    }
  }

  /** Result of a conditional write. */
  sealed interface WriteResult {
    /** The write took effect. */
    record Written(StoreObject object) implements WriteResult {}

    /** The object has another version. */
    record Conflict(Optional<StoreObject> current) implements WriteResult {}

    /** The object to delete does not exist. */
    record NotFound() implements WriteResult {}
  }

  Batch list(Set<String> kinds) {
    lock.lock();
    try {
      return batch(revision, listed(kinds));
    } finally {
      lock.unlock();
    }
  }

  /** Returns the objects, and the tombstones of those deleted since the last return from a copy. */
  private List<StoreObject> listed(Set<String> kinds) {
    List<StoreObject> listed = select(objects.values(), kinds, 0);
    if (!returns.isEmpty()) {
      select(events, kinds, returns.getLast().copyRevision()).stream()
          .filter(StoreObject::deleted)
          .forEach(listed::add);
    }
    return listed;
  }

  private Batch batch(long upToRevision, List<StoreObject> selected) {
    return new Batch(storeId, epoch, upToRevision, returns, selected);
  }

  Optional<StoreObject> get(String kind, String name) {
    lock.lock();
    try {
      return Optional.ofNullable(objects.get(StoreObject.keyOf(kind, name)));
    } finally {
      lock.unlock();
    }
  }

  WriteResult put(
      String kind, String name, JsonNode body, ExpectedVersion expected, String changeId) {
    lock.lock();
    try {
      StoreObject current = objects.get(StoreObject.keyOf(kind, name));
      if (!expected.matches(current)) {
        return new WriteResult.Conflict(Optional.ofNullable(current));
      }
      return new WriteResult.Written(write(kind, name, body, changeId));
    } finally {
      lock.unlock();
    }
  }

  /** Writes an object regardless of its version. */
  StoreObject write(String kind, String name, JsonNode body, String changeId) {
    lock.lock();
    try {
      revision++;
      StoreObject written = new StoreObject(kind, name, epoch, revision, changeId, false, body);
      objects.put(written.key(), written);
      addEvent(written);
      return written;
    } finally {
      lock.unlock();
    }
  }

  WriteResult delete(String kind, String name, ExpectedVersion expected, String changeId) {
    lock.lock();
    try {
      StoreObject current = objects.get(StoreObject.keyOf(kind, name));
      if (current == null) {
        return new WriteResult.NotFound();
      }
      if (!expected.matches(current)) {
        return new WriteResult.Conflict(Optional.of(current));
      }
      revision++;
      objects.remove(current.key());
      StoreObject tombstone = current.tombstone(epoch, revision, changeId);
      addEvent(tombstone);
      return new WriteResult.Written(tombstone);
    } finally {
      lock.unlock();
    }
  }

  /** Waits for events; empty if the events after the revision are not available. */
  Optional<Batch> watch(
      Set<String> kinds,
      Optional<Long> knownEpoch,
      long after,
      long timeoutMs,
      BooleanSupplier watchStuck)
      throws InterruptedException {
    long deadlineNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
    lock.lockInterruptibly();
    try {
      while (true) {
        boolean isStuck = watchStuck.getAsBoolean();
        boolean isOtherEpoch = knownEpoch.filter(known -> known != epoch).isPresent();
        if (!isStuck && (isOtherEpoch || after < oldestRevision || after > revision)) {
          return Optional.empty();
        }
        List<StoreObject> matching = isStuck ? List.of() : select(events, kinds, after);
        long remainingNs = deadlineNs - System.nanoTime();
        if (!matching.isEmpty() || remainingNs <= 0) {
          return Optional.of(batch(isStuck ? after : revision, matching));
        }
        long waitNs = isStuck ? TimeUnit.MILLISECONDS.toNanos(STUCK_WATCH_POLL_MS) : remainingNs;
        stateChanged.awaitNanos(Math.min(waitNs, remainingNs));
      }
    } finally {
      lock.unlock();
    }
  }

  /** Returns the current objects, for {@link #restore}. */
  Batch snapshot() {
    lock.lock();
    try {
      return batch(revision, List.copyOf(objects.values()));
    } finally {
      lock.unlock();
    }
  }

  /**
   * Restores an earlier snapshot: under its identity, in the next epoch, or under a new identity.
   */
  void restore(Batch snapshot, boolean newIdentity) {
    lock.lock();
    try {
      objects.clear();
      snapshot.objects().forEach(object -> objects.put(object.key(), object));
      events.clear();
      revision = snapshot.revision();
      oldestRevision = revision;
      if (newIdentity) {
        epoch = snapshot.epoch();
        returns = snapshot.returns();
        storeId = UUID.randomUUID().toString();
      } else {
        epoch++;
        returns = new ArrayList<>(snapshot.returns());
        returns.add(new Return(epoch, snapshot.epoch(), snapshot.revision()));
        returns =
            List.copyOf(returns.subList(Math.max(0, returns.size() - MAX_RETURNS), returns.size()));
      }
      stateChanged.signalAll();
    } finally {
      lock.unlock();
    }
  }

  void wakeWatches() {
    lock.lock();
    try {
      stateChanged.signalAll();
    } finally {
      lock.unlock();
    }
  }

  private void addEvent(StoreObject event) {
    events.addLast(event);
    if (events.size() > MAX_RETAINED_EVENTS) {
      oldestRevision = events.removeFirst().version();
    }
    stateChanged.signalAll();
  }

  /** Selects the objects of the given kinds written after a version; only their last states. */
  private static List<StoreObject> select(
      Iterable<StoreObject> from, Set<String> kinds, long after) {
    Map<String, StoreObject> selected = new TreeMap<>();
    for (StoreObject object : from) {
      if (object.version() > after && kinds.contains(object.kind())) {
        selected.put(object.key(), object);
      }
    }
    return new ArrayList<>(selected.values());
  }
}
