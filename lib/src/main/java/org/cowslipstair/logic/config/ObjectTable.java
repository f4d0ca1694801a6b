package org.cowslipstair.logic.config;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.cowslipstair.model.config.ConfigObject;
import org.cowslipstair.model.config.ObjectKey;
import org.cowslipstair.model.config.StoredObject;

/**
 * The objects of one store life. Merging is idempotent and independent of the order, so that any
 * two tables that saw the same objects are equal.
 */
final class ObjectTable {
  private static final HashFunction HASH = Hashing.murmur3_128();
  private static final int MAX_TOMBSTONES = 1_000;

  private final ObjectReader reader;
  private final Consumer<ConfigEvent.ObjectInvalid> onInvalid;
  private final SortedMap<ObjectKey, Entry> entries = new TreeMap<>();
  private long revision;
  private long tombstonesSince;

  ObjectTable(ObjectReader reader, Consumer<ConfigEvent.ObjectInvalid> onInvalid) {
    this.reader = reader;
    this.onInvalid = onInvalid;
  }

  /**
   * One object.
   *
   * @param latest newest version
   * @param good newest version that is valid or a tombstone
   * @param object the object that {@code good} describes, unless it is a tombstone
   * @param invalid what is wrong with {@code latest}
   */
  private record Entry(
      StoredObject latest,
      Optional<StoredObject> good,
      Optional<ConfigObject> object,
      Optional<ConfigEvent.ObjectInvalid> invalid) {
    static Entry valid(StoredObject stored, Optional<ConfigObject> object) {
      return new Entry(stored, Optional.of(stored), object, Optional.empty());
    }

    boolean isTombstone() {
      return latest.deleted();
    }
  }

  long revision() {
    return revision;
  }

  /** Raises the revision up to which the table is complete. */
  void completeUpTo(long newRevision) {
    revision = Math.max(revision, newRevision);
    dropOldTombstones();
  }

  /**
   * Merges one object.
   *
   * @return whether the table changed
   */
  boolean offer(StoredObject offered) {
    Entry held = entries.get(offered.key());
    if (held == null) {
      return offered.version() > revision && put(offered, Optional.empty());
    }
    if (offered.version() > held.latest().version()) {
      return put(offered, Optional.of(held));
    }
    return offered.version() < held.latest().version() && offerGood(offered, held);
  }

  private boolean put(StoredObject stored, Optional<Entry> previous) {
    entries.put(stored.key(), read(stored, previous));
    return true;
  }

  private Entry read(StoredObject stored, Optional<Entry> previous) {
    if (stored.deleted()) {
      return Entry.valid(stored, Optional.empty());
    }
    try {
      return Entry.valid(stored, Optional.of(reader.read(stored)));
    } catch (InvalidObjectException e) {
      ConfigEvent.ObjectInvalid invalid =
          new ConfigEvent.ObjectInvalid(stored.key(), stored.version(), e.reason());
      onInvalid.accept(invalid);
      return new Entry(
          stored,
          previous.flatMap(Entry::good),
          previous.flatMap(Entry::object),
          Optional.of(invalid));
    }
  }

  private boolean offerGood(StoredObject offered, Entry held) {
    boolean newerThanGood = held.good().filter(g -> g.version() >= offered.version()).isEmpty();
    if (held.invalid().isEmpty() || !newerThanGood) {
      return false;
    }
    try {
      Optional<ConfigObject> object =
          offered.deleted() ? Optional.empty() : Optional.of(reader.read(offered));
      entries.put(
          offered.key(), new Entry(held.latest(), Optional.of(offered), object, held.invalid()));
      return true;
    } catch (InvalidObjectException ignored) {
      return false;
    }
  }

  /** Removes the objects that a whole list of a later revision does not contain. */
  void retainListed(Collection<StoredObject> listed, long listRevision) {
    Set<ObjectKey> keys = new HashSet<>();
    listed.forEach(object -> keys.add(object.key()));
    entries
        .values()
        .removeIf(
            entry ->
                entry.latest().version() <= listRevision && !keys.contains(entry.latest().key()));
    tombstonesSince = Math.max(tombstonesSince, listRevision);
  }

  /** Returns whether listed objects agree with what the table holds up to its revision. */
  boolean agreesWith(Collection<StoredObject> listed) {
    Map<ObjectKey, StoredObject> newest = new TreeMap<>();
    for (StoredObject object : listed) {
      newest.merge(object.key(), object, (a, b) -> a.version() > b.version() ? a : b);
    }
    for (StoredObject object : newest.values()) {
      if (object.version() > revision) {
        continue;
      }
      Entry held = entries.get(object.key());
      if (held == null || !sameOrOlder(object, held)) {
        return false;
      }
    }
    return true;
  }

  private boolean sameOrOlder(StoredObject listed, Entry held) {
    StoredObject latest = held.latest();
    if (latest.version() > revision) {
      return true;
    }
    boolean isLatest =
        latest.version() == listed.version() && latest.changeId().equals(listed.changeId());
    return isLatest || held.good().filter(g -> g.version() == listed.version()).isPresent();
  }

  /** Returns whether {@link #writtenAfter} can tell every deletion after a revision. */
  boolean knowsDeletionsAfter(long afterRevision) {
    return afterRevision >= tombstonesSince;
  }

  /** Returns the objects written after a revision, tombstones included. */
  List<StoredObject> writtenAfter(long afterRevision) {
    List<StoredObject> written = new ArrayList<>();
    for (Entry entry : entries.values()) {
      if (entry.latest().version() > afterRevision) {
        addVersions(entry, written);
      }
    }
    return written;
  }

  /** Returns all objects without tombstones. */
  List<StoredObject> whole() {
    List<StoredObject> objects = new ArrayList<>();
    for (Entry entry : entries.values()) {
      if (!entry.isTombstone()) {
        addVersions(entry, objects);
      }
    }
    return objects;
  }

  /** Adds the newest version, and the one in force where the newest is invalid. */
  private static void addVersions(Entry entry, List<StoredObject> objects) {
    entry.good().filter(good -> !good.equals(entry.latest())).ifPresent(objects::add);
    objects.add(entry.latest());
  }

  /** Returns the objects in force. */
  List<ConfigObject> inForce() {
    List<ConfigObject> objects = new ArrayList<>();
    entries.values().forEach(entry -> entry.object().ifPresent(objects::add));
    return objects;
  }

  /** Returns the version in force of each object. */
  Map<ObjectKey, Long> versionsInForce() {
    Map<ObjectKey, Long> versions = new TreeMap<>();
    entries.forEach(
        (key, entry) -> entry.good().ifPresent(good -> versions.put(key, good.version())));
    return versions;
  }

  /** Returns the invalid objects with the reasons. */
  List<ConfigEvent.ObjectInvalid> invalidObjects() {
    List<ConfigEvent.ObjectInvalid> invalid = new ArrayList<>();
    entries.values().forEach(entry -> entry.invalid().ifPresent(invalid::add));
    return invalid;
  }

  /** Returns a checksum over keys and versions that is equal where the objects are. */
  long digest() {
    long sum = 0;
    for (Entry entry : entries.values()) {
      if (!entry.isTombstone()) {
        sum += digestOf(entry);
      }
    }
    return sum;
  }

  private static long digestOf(Entry entry) {
    return HASH.newHasher()
        .putString(entry.latest().key().toString(), StandardCharsets.UTF_8)
        .putLong(entry.latest().version())
        .putLong(entry.good().map(StoredObject::version).orElse(0L))
        .hash()
        .asLong();
  }

  private void dropOldTombstones() {
    List<StoredObject> tombstones = new ArrayList<>();
    for (Entry entry : entries.values()) {
      if (entry.isTombstone() && entry.latest().version() <= revision) {
        tombstones.add(entry.latest());
      }
    }
    if (tombstones.size() <= MAX_TOMBSTONES) {
      return;
    }
    tombstones.sort((a, b) -> Long.compare(a.version(), b.version()));
    for (StoredObject tombstone : tombstones.subList(0, tombstones.size() - MAX_TOMBSTONES)) {
      entries.remove(tombstone.key());
      tombstonesSince = Math.max(tombstonesSince, tombstone.version());
    }
  }
}
