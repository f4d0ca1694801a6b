package org.cowslipstair.logic.config;

import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import org.cowslipstair.model.config.Labels;
import org.cowslipstair.model.config.ObjectKey;
import org.cowslipstair.model.config.ObjectKind;
import org.cowslipstair.model.config.RevisionRange;
import org.cowslipstair.model.config.StoreId;
import org.cowslipstair.model.config.StoreRevision;
import org.cowslipstair.model.config.StoredObject;
import org.cowslipstair.model.config.Zone;
import org.cowslipstair.model.config.ZoneName;

/** An in-memory store. It has only zones; the body of a zone is the value of its state label. */
final class InMemoryStore {
  static final ObjectReader READER =
      stored -> {
        if (stored.json().startsWith("bad")) {
          throw new InvalidObjectException(stored.key(), "state is bad");
        }
        return new Zone(
            new ZoneName(stored.key().name()), Labels.empty().with(Labels.STATE, stored.json()));
      };

  private final SortedMap<ObjectKey, StoredObject> objects = new TreeMap<>();
  StoreId id;
  long revision;
  private List<RevisionRange> lost = List.of();

  InMemoryStore(String id) {
    this.id = new StoreId(id);
  }

  static ObjectKey key(int number) {
    return new ObjectKey(ObjectKind.ZONE, "zone-" + number);
  }

  StoredObject write(int number, String body) {
    return put(number, body, false);
  }

  StoredObject delete(int number) {
    return put(number, "", true);
  }

  private StoredObject put(int number, String body, boolean deleted) {
    revision++;
    String changeId = id + "-" + revision + "-" + body;
    StoredObject stored = new StoredObject(key(number), revision, changeId, deleted, body);
    objects.put(stored.key(), stored);
    return stored;
  }

  ConfigBatch list() {
    List<StoredObject> live = new ArrayList<>(objects.values());
    live.removeIf(object -> object.deleted() && !isWrittenSinceReturn(object));
    return new ConfigBatch(id, 0, revision, lost, live);
  }

  private boolean isWrittenSinceReturn(StoredObject object) {
    return !lost.isEmpty() && object.version() > lost.getLast().before();
  }

  ConfigBatch after(long afterRevision) {
    List<StoredObject> newer = new ArrayList<>(objects.values());
    newer.removeIf(object -> object.version() <= afterRevision);
    return new ConfigBatch(id, afterRevision, revision, lost, newer);
  }

  /** Returns a backup of the current state under the given store ID. */
  InMemoryStore copy(String newId) {
    InMemoryStore copy = new InMemoryStore(newId);
    copy.objects.putAll(objects);
    copy.revision = revision;
    copy.lost = lost;
    return copy;
  }

  /** Returns the store that comes back from this copy of another one's past, and tells so. */
  InMemoryStore returnInPlaceOf(InMemoryStore other) {
    long epoch = StoreRevision.epoch(other.revision) + 1;
    InMemoryStore returned = copy(other.id.value());
    returned.revision = StoreRevision.of(epoch, StoreRevision.number(revision));
    returned.lost = new ArrayList<>(lost);
    returned.lost.add(new RevisionRange(revision, StoreRevision.of(epoch, 0)));
    return returned;
  }
}
