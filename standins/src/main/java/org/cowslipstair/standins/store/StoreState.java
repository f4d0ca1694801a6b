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

/** Objects, revisions and events of the store. Safe for several threads. */
final class StoreState {
  private static final int MAX_KEPT_EVENTS = 10_000;
  private static final long STUCK_CHECK_MS = 20;

  private final ReentrantLock lock = new ReentrantLock();
  private final Condition changed = lock.newCondition();
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

    /** There is no such object to delete. */
    record Missing() implements WriteResult {}
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

  /** Writes an object whatever its version. */
  StoreObject write(String kind, String name, JsonNode body, String changeId) {
    lock.lock();
    try {
      revision++;
      StoreObject written = new StoreObject(kind, name, revision, changeId, false, body);
      objects.put(written.key(), written);
      record(written);
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
        return new WriteResult.Missing();
      }
      if (current.version() != ifVersion) {
        return new WriteResult.Conflict(Optional.of(current));
      }
      revision++;
      objects.remove(current.key());
      StoreObject tombstone = current.tombstone(revision, changeId);
      record(tombstone);
      return new WriteResult.Written(tombstone);
    } finally {
      lock.unlock();
    }
  }

  /** Waits for events; empty if the events after the revision are not known. */
  Optional<Batch> watch(Set<String> kinds, long after, long timeoutMs, BooleanSupplier stuck)
      throws InterruptedException {
    long deadlineNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
    lock.lockInterruptibly();
    try {
      while (true) {
        boolean isStuck = stuck.getAsBoolean();
        if (!isStuck && (after < oldestRevision || after > revision)) {
          return Optional.empty();
        }
        List<StoreObject> found = isStuck ? List.of() : select(events, kinds, after);
        long leftNs = deadlineNs - System.nanoTime();
        if (!found.isEmpty() || leftNs <= 0) {
          return Optional.of(new Batch(storeId, isStuck ? after : revision, found));
        }
        long waitNs = isStuck ? TimeUnit.MILLISECONDS.toNanos(STUCK_CHECK_MS) : leftNs;
        changed.awaitNanos(Math.min(waitNs, leftNs));
      }
    } finally {
      lock.unlock();
    }
  }

  /** Returns the objects as of now, for {@link #restore}. */
  Batch copy() {
    lock.lock();
    try {
      return new Batch(storeId, revision, List.copyOf(objects.values()));
    } finally {
      lock.unlock();
    }
  }

  /** Falls back to an earlier copy, under the old identity or under a new one. */
  void restore(Batch copy, boolean newIdentity) {
    lock.lock();
    try {
      objects.clear();
      copy.objects().forEach(object -> objects.put(object.key(), object));
      events.clear();
      revision = copy.revision();
      oldestRevision = revision;
      storeId = newIdentity ? UUID.randomUUID().toString() : copy.storeId();
      changed.signalAll();
    } finally {
      lock.unlock();
    }
  }

  void wakeWatches() {
    lock.lock();
    try {
      changed.signalAll();
    } finally {
      lock.unlock();
    }
  }

  private void record(StoreObject event) {
    events.addLast(event);
    if (events.size() > MAX_KEPT_EVENTS) {
      oldestRevision = events.removeFirst().version();
    }
    changed.signalAll();
  }

  private static long versionOf(@Nullable StoreObject object) {
    return object == null ? 0 : object.version();
  }

  /** Selects the objects of some kinds; of an object written twice, only the last state. */
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
