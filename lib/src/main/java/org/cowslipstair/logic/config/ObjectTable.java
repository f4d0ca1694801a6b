package org.cowslipstair.logic.config;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
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
import org.cowslipstair.model.config.RevisionRange;
import org.cowslipstair.model.config.StoredObject;

/**
 * The objects of one store epoch. Merging is idempotent and commutative, so two tables that merged
 * the same objects are equal.
 */
final class ObjectTable {
  private static final HashFunction HASH_FUNCTION = Hashing.murmur3_128();
  private static final int MAX_TOMBSTONES = 1_000;

  /** Number of returns of the store that are remembered. */
  private static final int MAX_RETURNS = 16;

  private final ObjectReader reader;
  private final Consumer<ConfigEvent.ObjectInvalid> onInvalid;
  private final SortedMap<ObjectKey, Entry> entries = new TreeMap<>();
  private final List<RevisionRange> lost = new ArrayList<>();
  private long revision;
  private long tombstonesCompleteAfter;

  ObjectTable(ObjectReader reader, Consumer<ConfigEvent.ObjectInvalid> onInvalid) {
    this.reader = reader;
    this.onInvalid = onInvalid;
  }

  /**
   * The versions of one object.
   *
   * @param latest newest version
   * @param lastValid newest version that is valid or a tombstone
   * @param object parsed form of {@code lastValid}; empty for a tombstone
   * @param invalid why {@code latest} is invalid; empty if it is valid
   */
  private record Entry(
      StoredObject latest,
      Optional<StoredObject> lastValid,
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

  /**
   * Records revisions that the store has lost. What was written at them stays in force until it is
   * written again. Only the latest returns are remembered, in whichever order they are told.
   *
   * @return the latest one if it was unknown
   */
  Optional<RevisionRange> recordLost(Collection<RevisionRange> ranges) {
    long knownBefore = lost.isEmpty() ? 0 : lost.getLast().before();
    ranges.stream().filter(range -> !lost.contains(range)).forEach(lost::add);
    lost.sort(Comparator.comparingLong(RevisionRange::before));
    while (lost.size() > MAX_RETURNS) {
      lost.removeFirst();
    }
    return lost.isEmpty()
        ? Optional.empty()
        : Optional.of(lost.getLast()).filter(latest -> latest.before() > knownBefore);
  }

  /** Returns the revisions that the store has lost. */
  List<RevisionRange> lost() {
    return List.copyOf(lost);
  }

  private boolean isLost(long version) {
    return lost.stream().anyMatch(range -> range.contains(version));
  }

  /** Advances the revision up to which the table is complete. */
  void advanceRevision(long newRevision) {
    revision = Math.max(revision, newRevision);
    evictOldTombstones();
  }

  /**
   * Merges one object.
   *
   * @return whether the table changed
   */
  boolean merge(StoredObject stored) {
    Entry existing = entries.get(stored.key());
    if (existing == null) {
      boolean isUnknown =
          stored.version() > revision || isLost(stored.version()) || mayHaveReturned(stored);
      return isUnknown && put(stored, Optional.empty());
    }
    if (stored.version() > existing.latest().version()) {
      return put(stored, Optional.of(existing));
    }
    return stored.version() < existing.latest().version() && mergeLastValid(stored, existing);
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
          previous.flatMap(Entry::lastValid),
          previous.flatMap(Entry::object),
          Optional.of(invalid));
    }
  }

  private boolean mergeLastValid(StoredObject stored, Entry existing) {
    boolean isNewerThanLastValid =
        existing.lastValid().filter(valid -> valid.version() >= stored.version()).isEmpty();
    if (existing.invalid().isEmpty() || !isNewerThanLastValid) {
      return false;
    }
    try {
      Optional<ConfigObject> object =
          stored.deleted() ? Optional.empty() : Optional.of(reader.read(stored));
      entries.put(
          stored.key(),
          new Entry(existing.latest(), Optional.of(stored), object, existing.invalid()));
      return true;
    } catch (InvalidObjectException ignored) {
      return false;
    }
  }

  /**
   * Removes the objects that a full list does not contain, unless they are newer than the list or
   * the store has lost them.
   */
  void removeUnlisted(Collection<StoredObject> listed, long listRevision) {
    Set<ObjectKey> keys = new HashSet<>();
    listed.forEach(object -> keys.add(object.key()));
    entries.replaceAll(
        (key, entry) -> {
          long version = entry.latest().version();
          boolean isDeleted = version <= listRevision && !keys.contains(key) && !isLost(version);
          return isDeleted && !entry.isTombstone()
              ? Entry.valid(tombstone(key, listRevision), Optional.empty())
              : entry;
        });
    tombstonesCompleteAfter = Math.max(tombstonesCompleteAfter, listRevision);
  }

  /**
   * Marks an object as deleted at or before a revision, in case that a copy of the store has it.
   */
  private static StoredObject tombstone(ObjectKey key, long revision) {
    return new StoredObject(key, revision, "", true, "");
  }

  /** Returns whether a full list agrees with this table up to the revision of the table. */
  boolean isConsistentWith(Collection<StoredObject> listed) {
    Map<ObjectKey, StoredObject> newest = new TreeMap<>();
    for (StoredObject object : listed) {
      newest.merge(object.key(), object, (a, b) -> a.version() > b.version() ? a : b);
    }
    for (StoredObject object : newest.values()) {
      if (object.version() > revision) {
        continue;
      }
      Entry existing = entries.get(object.key());
      boolean isConsistent =
          existing == null
              ? object.deleted() || isLost(object.version()) || mayHaveReturned(object)
              : isConsistent(object, existing);
      if (!isConsistent) {
        return false;
      }
    }
    return true;
  }

  private boolean isAfterACopy(long version) {
    return lost.stream().anyMatch(range -> version > range.after());
  }

  /**
   * Returns whether the store may have lost the deletion of an object, so that it is there again.
   */
  private boolean mayHaveReturned(StoredObject object) {
    return lost.stream().anyMatch(range -> object.version() <= range.after());
  }

  private boolean isConsistent(StoredObject listed, Entry existing) {
    StoredObject latest = existing.latest();
    boolean areBothDeleted = latest.deleted() && listed.deleted();
    if (latest.version() > revision || areBothDeleted) {
      return true;
    }
    if (isLost(latest.version()) || isLost(listed.version())) {
      return true;
    }
    boolean isLatest =
        latest.version() == listed.version() && latest.changeId().equals(listed.changeId());
    return isLatest
        || existing.lastValid().filter(valid -> valid.version() == listed.version()).isPresent();
  }

  /** Returns whether {@link #writtenAfter} would include every deletion after a revision. */
  boolean hasAllTombstonesAfter(long afterRevision) {
    return afterRevision >= tombstonesCompleteAfter;
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

  /**
   * Returns all objects, and the tombstones of those that a list of the store may contain again, or
   * that others may keep because the store has lost them.
   */
  List<StoredObject> fullList() {
    List<StoredObject> objects = new ArrayList<>();
    for (Entry entry : entries.values()) {
      if (!entry.isTombstone() || isAfterACopy(entry.latest().version())) {
        addVersions(entry, objects);
      }
    }
    return objects;
  }

  /** Adds the newest version and, if that is invalid, also the version in force. */
  private static void addVersions(Entry entry, List<StoredObject> objects) {
    entry
        .lastValid()
        .filter(lastValid -> !lastValid.equals(entry.latest()))
        .ifPresent(objects::add);
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
        (key, entry) ->
            entry.lastValid().ifPresent(lastValid -> versions.put(key, lastValid.version())));
    return versions;
  }

  /** Returns the objects whose newest version is invalid, with the reasons. */
  List<ConfigEvent.ObjectInvalid> invalidObjects() {
    List<ConfigEvent.ObjectInvalid> invalid = new ArrayList<>();
    entries.values().forEach(entry -> entry.invalid().ifPresent(invalid::add));
    return invalid;
  }

  /** Returns a checksum over keys and versions; tables with equal objects have equal digests. */
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
    return HASH_FUNCTION
        .newHasher()
        .putString(entry.latest().key().toString(), StandardCharsets.UTF_8)
        .putLong(entry.latest().version())
        .putLong(entry.lastValid().map(StoredObject::version).orElse(0L))
        .hash()
        .asLong();
  }

  private void evictOldTombstones() {
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
      tombstonesCompleteAfter = Math.max(tombstonesCompleteAfter, tombstone.version());
    }
  }
}
