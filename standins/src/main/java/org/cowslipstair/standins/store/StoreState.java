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
  private static final long STUCK_WATCH_POLL_MS = 20;

  private final ReentrantLock lock = new ReentrantLock();
  private final Condition stateChanged = lock.newCondition();
  private final Map<String, StoreObject> objects = new TreeMap<>();
  private final Deque<StoreObject> events = new ArrayDeque<>();
  private String storeId = UUID.randomUUID().toString();
  private long revision;
  private long oldestRevision;

  /** Objects at one revision. */
  record Batch(String storeId, long revision, List<StoreObject> objects) {}

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
      return new Batch(storeId, revision, select(objects.values(), kinds, 0));
    } finally {
      lock.unlock();
    }
  }

  Optional<StoreObject> get(String kind, String name) {
    lock.lock();
    try {
      return Optional.ofNullable(objects.get(StoreObject.keyOf(kind, name)));
    } finally {
      lock.unlock();
    }
  }

  WriteResult put(String kind, String name, JsonNode body, long ifVersion, String changeId) {
    lock.lock();
    try {
      StoreObject current = objects.get(StoreObject.keyOf(kind, name));
      if (versionOf(current) != ifVersion) {
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
      StoreObject written = new StoreObject(kind, name, revision, changeId, false, body);
      objects.put(written.key(), written);
      addEvent(written);
      return written;
    } finally {
      lock.unlock();
    }
  }

  WriteResult delete(String kind, String name, long ifVersion, String changeId) {
    lock.lock();
    try {
      StoreObject current = objects.get(StoreObject.keyOf(kind, name));
      if (current == null) {
        return new WriteResult.NotFound();
      }
      if (current.version() != ifVersion) {
        return new WriteResult.Conflict(Optional.of(current));
      }
      revision++;
      objects.remove(current.key());
      StoreObject tombstone = current.tombstone(revision, changeId);
      addEvent(tombstone);
      return new WriteResult.Written(tombstone);
    } finally {
      lock.unlock();
    }
  }

  /** Waits for events; empty if the events after the revision are not available. */
  Optional<Batch> watch(Set<String> kinds, long after, long timeoutMs, BooleanSupplier watchStuck)
      throws InterruptedException {
    long deadlineNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
    lock.lockInterruptibly();
    try {
      while (true) {
        boolean isStuck = watchStuck.getAsBoolean();
        if (!isStuck && (after < oldestRevision || after > revision)) {
          return Optional.empty();
        }
        List<StoreObject> matching = isStuck ? List.of() : select(events, kinds, after);
        long remainingNs = deadlineNs - System.nanoTime();
        if (!matching.isEmpty() || remainingNs <= 0) {
          return Optional.of(new Batch(storeId, isStuck ? after : revision, matching));
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
      return new Batch(storeId, revision, List.copyOf(objects.values()));
    } finally {
      lock.unlock();
    }
  }

  /** Restores an earlier snapshot, with its identity or with a new one. */
  void restore(Batch snapshot, boolean newIdentity) {
    lock.lock();
    try {
      objects.clear();
      snapshot.objects().forEach(object -> objects.put(object.key(), object));
      events.clear();
      revision = snapshot.revision();
      oldestRevision = revision;
      storeId = newIdentity ? UUID.randomUUID().toString() : snapshot.storeId();
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

  private static long versionOf(@Nullable StoreObject object) {
    return object == null ? 0 : object.version();
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
