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
 * Reads and writes objects of the configuration. A write whose answer was lost is resolved by
 * reading its change id back, and sent again if it did not take effect.
 */
final class Objects {
  static final Set<ObjectKind> KINDS =
      Stream.of(ObjectKind.values())
          .filter(ObjectKind::isConfiguration)
          .collect(Collectors.toCollection(() -> EnumSet.noneOf(ObjectKind.class)));

  private static final int MAX_ATTEMPTS = 6;
  private static final long FIRST_PAUSE_MS = 20;

  private final PlatformStore store;
  private final Pause pause;

  Objects(PlatformStore store) {
    this(store, TimeUnit.MILLISECONDS::sleep);
  }

  Objects(PlatformStore store, Pause pause) {
    this.store = store;
    this.pause = pause;
  }

  /** Waits before another attempt. */
  @FunctionalInterface
  interface Pause {
    void sleepMs(long ms) throws InterruptedException;
  }

  ObjectBatch list() throws CliException {
    return list(KINDS);
  }

  ObjectBatch list(Set<ObjectKind> kinds) throws CliException {
    try {
      return store.list(kinds);
    } catch (StoreException e) {
      throw CliException.of(e);
    }
  }

  /** Returns the objects of a batch that are valid; others are of no use to a command. */
  static List<ConfigObject> valid(ObjectBatch batch) {
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
      throw CliException.of(e);
    }
  }

  /** Writes an object and returns its new version. */
  long put(ObjectKey key, String json, long expectedVersion)
      throws StoreException, InterruptedException {
    String changeId = UUID.randomUUID().toString();
    StoreException.AnswerLost lost = null;
    for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      try {
        if (lost != null) {
          pause(attempt);
          Optional<StoredObject> found = store.get(key);
          if (found.filter(object -> object.changeId().equals(changeId)).isPresent()) {
            return found.get().version();
          }
        }
        return store.put(key, json, expectedVersion, changeId).version();
      } catch (StoreException.AnswerLost e) {
        lost = e;
      } catch (StoreException.Unavailable e) {
        if (lost == null) {
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
    throw lost == null ? new StoreException.Unavailable("put " + key, "gave up") : lost;
  }

  /** Deletes an object; one that is gone already counts as deleted. */
  void delete(ObjectKey key, long expectedVersion) throws StoreException, InterruptedException {
    String changeId = UUID.randomUUID().toString();
    StoreException.AnswerLost lost = null;
    for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      try {
        if (lost != null) {
          pause(attempt);
          if (store.get(key).isEmpty()) {
            return;
          }
        }
        store.delete(key, expectedVersion, changeId);
        return;
      } catch (StoreException.AnswerLost e) {
        lost = e;
      } catch (StoreException.Unavailable e) {
        if (lost == null) {
          throw e;
        }
      } catch (StoreException.VersionConflict e) {
        if (e.current().isEmpty()) {
          return;
        }
        throw e;
      }
    }
    throw lost == null ? new StoreException.Unavailable("delete " + key, "gave up") : lost;
  }

  private void pause(int attempt) throws InterruptedException {
    pause.sleepMs(FIRST_PAUSE_MS << attempt);
  }
}
