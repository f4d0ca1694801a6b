package org.cowslipstair.cli;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.cowslipstair.logic.object.InvalidFieldsException;
import org.cowslipstair.logic.object.ObjectJson;
import org.cowslipstair.model.config.ConfigObject;
import org.cowslipstair.model.config.ObjectKey;
import org.cowslipstair.model.config.ObjectKind;
import org.cowslipstair.model.config.StoredObject;
import org.cowslipstair.port.PlatformStore;
import org.cowslipstair.port.PlatformStore.ObjectBatch;
import org.cowslipstair.port.StoreException;

/**
 * Reads and writes objects of the configuration. If the response to a write is lost, the object is
 * read and its change id compared; a write that did not take effect is sent again.
 */
final class ObjectStore {
  static final Set<ObjectKind> CONFIG_KINDS =
      Stream.of(ObjectKind.values())
          .filter(ObjectKind::isConfiguration)
          .collect(Collectors.toCollection(() -> EnumSet.noneOf(ObjectKind.class)));

  private static final int MAX_ATTEMPTS = 6;
  private static final long FIRST_BACKOFF_MS = 20;

  private final PlatformStore store;
  private final Sleeper sleeper;

  ObjectStore(PlatformStore store) {
    this(store, TimeUnit.MILLISECONDS::sleep);
  }

  ObjectStore(PlatformStore store, Sleeper sleeper) {
    this.store = store;
    this.sleeper = sleeper;
  }

  /** Sleeps before another attempt. */
  @FunctionalInterface
  interface Sleeper {
    void sleepMs(long ms) throws InterruptedException;
  }

  ObjectBatch list() throws CliException {
    return list(CONFIG_KINDS);
  }

  ObjectBatch list(Set<ObjectKind> kinds) throws CliException {
    try {
      ObjectBatch batch = store.list(kinds);
      List<StoredObject> live =
          batch.objects().stream().filter(object -> !object.deleted()).toList();
      return new ObjectBatch(batch.storeId(), batch.revision(), batch.lost(), live);
    } catch (StoreException e) {
      throw CliException.from(e);
    }
  }

  /** Returns the valid objects of a batch; commands cannot use invalid ones. */
  static List<ConfigObject> validObjects(ObjectBatch batch) {
    List<ConfigObject> objects = new ArrayList<>();
    for (StoredObject stored : batch.objects()) {
      try {
        objects.add(ObjectJson.read(stored));
      } catch (InvalidFieldsException ignored) {
        continue;
      }
    }
    return objects;
  }

  StoredObject get(ObjectKey key) throws CliException {
    try {
      return store
          .get(key)
          .orElseThrow(() -> new CliException.NotFound(key.kind().wireName(), key.name()));
    } catch (StoreException e) {
      throw CliException.from(e);
    }
  }

  /** Writes an object and returns its new version. */
  long put(ObjectKey key, String json, long expectedVersion)
      throws StoreException, InterruptedException {
    String changeId = UUID.randomUUID().toString();
    StoreException.AnswerLost lostResponse = null;
    for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      try {
        if (lostResponse != null) {
          backOff(attempt);
          Optional<StoredObject> found = store.get(key);
          if (found.filter(object -> object.changeId().equals(changeId)).isPresent()) {
            return found.get().version();
          }
        }
        return store.put(key, json, expectedVersion, changeId).version();
      } catch (StoreException.AnswerLost e) {
        lostResponse = e;
      } catch (StoreException.Unavailable e) {
        if (lostResponse == null) {
          throw e;
        }
      } catch (StoreException.VersionConflict e) {
        Optional<StoredObject> current = e.current();
        if (current.filter(object -> object.changeId().equals(changeId)).isPresent()) {
          return current.get().version();
        }
        throw e;
      }
    }
    throw lostResponse == null
        ? new StoreException.Unavailable("put " + key, "attempts exhausted")
        : lostResponse;
  }

  /** Deletes an object; succeeds if the object is already deleted. */
  void delete(ObjectKey key, long expectedVersion) throws StoreException, InterruptedException {
    String changeId = UUID.randomUUID().toString();
    StoreException.AnswerLost lostResponse = null;
    for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      try {
        if (lostResponse != null) {
          backOff(attempt);
          if (store.get(key).isEmpty()) {
            return;
          }
        }
        store.delete(key, expectedVersion, changeId);
        return;
      } catch (StoreException.AnswerLost e) {
        lostResponse = e;
      } catch (StoreException.Unavailable e) {
        if (lostResponse == null) {
          throw e;
        }
      } catch (StoreException.VersionConflict e) {
        if (e.current().isEmpty()) {
          return;
        }
        throw e;
      }
    }
    throw lostResponse == null
        ? new StoreException.Unavailable("delete " + key, "attempts exhausted")
        : lostResponse;
  }

  private void backOff(int attempt) throws InterruptedException {
    sleeper.sleepMs(FIRST_BACKOFF_MS << attempt);
  }
}
