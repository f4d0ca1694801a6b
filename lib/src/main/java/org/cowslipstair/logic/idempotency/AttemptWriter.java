package org.cowslipstair.logic.idempotency;

import java.time.InstantSource;
import java.util.Optional;
import org.cowslipstair.logic.idempotency.KeyAcquisition.Acquired;
import org.cowslipstair.logic.idempotency.KeyAcquisition.Refused;
import org.cowslipstair.model.call.NotRunReason;
import org.cowslipstair.model.config.ObjectKey;
import org.cowslipstair.model.config.StoredObject;
import org.cowslipstair.port.PlatformStore;
import org.cowslipstair.port.StoreException;

/**
 * Creates one attempt in the store and determines the outcome of writes whose response was lost.
 */
final class AttemptWriter {
  private final PlatformStore store;
  private final InstantSource wallClock;
  private final ObjectKey key;
  private final String json;
  private final String changeId;
  private long expectedVersion;
  private boolean mayHaveWritten;

  AttemptWriter(
      PlatformStore store, InstantSource wallClock, ObjectKey key, String json, String changeId) {
    this.store = store;
    this.wallClock = wallClock;
    this.key = key;
    this.json = json;
    this.changeId = changeId;
  }

  String changeId() {
    return changeId;
  }

  /** Returns whether the attempt may exist in the store although the result was a refusal. */
  boolean mayHaveWritten() {
    return mayHaveWritten;
  }

  /** Creates the attempt with at most the given number of writes. */
  KeyAcquisition createAttempt(int maxWrites) {
    int writes = 0;
    while (writes < maxWrites) {
      writes++;
      Optional<KeyAcquisition> result = tryPut();
      if (result.isPresent()) {
        return result.get();
      }
    }
    return new Refused(NotRunReason.STORE_UNAVAILABLE);
  }

  /** Returns empty if the outcome is unknown and another try may determine it. */
  private Optional<KeyAcquisition> tryPut() {
    try {
      StoredObject stored = store.put(key, json, expectedVersion, changeId);
      return Optional.of(new Acquired(key, stored.version(), changeId));
    } catch (StoreException.VersionConflict conflict) {
      return resolve(conflict.current());
    } catch (StoreException.AnswerLost ignored) {
      mayHaveWritten = true;
      return readBack();
    } catch (StoreException ignored) {
      return Optional.of(new Refused(NotRunReason.STORE_UNAVAILABLE));
    }
  }

  private Optional<KeyAcquisition> readBack() {
    try {
      Optional<StoredObject> found = store.get(key);
      return found.isEmpty() ? Optional.empty() : resolve(found);
    } catch (StoreException.AnswerLost ignored) {
      return Optional.empty();
    } catch (StoreException ignored) {
      return Optional.of(new Refused(NotRunReason.STORE_UNAVAILABLE));
    }
  }

  private Optional<KeyAcquisition> resolve(Optional<StoredObject> current) {
    if (current.isEmpty() || current.get().deleted()) {
      expectedVersion = 0;
      return Optional.empty();
    }
    StoredObject attempt = current.get();
    if (attempt.changeId().equals(changeId)) {
      return Optional.of(new Acquired(key, attempt.version(), changeId));
    }
    if (AttemptJson.isExpired(attempt, wallClock.millis())) {
      expectedVersion = attempt.version();
      return Optional.empty();
    }
    return Optional.of(new Refused(NotRunReason.DUPLICATE_KEY));
  }
}
