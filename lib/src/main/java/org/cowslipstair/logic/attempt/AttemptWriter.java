package org.cowslipstair.logic.attempt;

import java.time.InstantSource;
import java.util.Optional;
import org.cowslipstair.logic.attempt.AttemptStart.Begun;
import org.cowslipstair.logic.attempt.AttemptStart.Refused;
import org.cowslipstair.model.call.NotRunReason;
import org.cowslipstair.model.config.ObjectKey;
import org.cowslipstair.model.config.StoredObject;
import org.cowslipstair.port.PlatformStore;
import org.cowslipstair.port.StoreException;

/** Creates one attempt in the store and finds out what became of writes whose answer was lost. */
final class AttemptWriter {
  private final PlatformStore store;
  private final InstantSource wallClock;
  private final ObjectKey key;
  private final String json;
  private final String changeId;
  private long expectedVersion;
  private boolean mayBeWritten;

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

  /** Whether a refusal may have left an attempt behind. */
  boolean mayBeWritten() {
    return mayBeWritten;
  }

  /** Creates the attempt; makes a bounded number of calls to the store. */
  AttemptStart write(int maxStoreCalls) {
    int calls = 0;
    while (calls < maxStoreCalls) {
      calls++;
      Optional<AttemptStart> start = put();
      if (start.isPresent()) {
        return start.get();
      }
    }
    return new Refused(NotRunReason.STORE_UNAVAILABLE);
  }

  /** Returns empty if the outcome is open and another try may settle it. */
  private Optional<AttemptStart> put() {
    try {
      StoredObject stored = store.put(key, json, expectedVersion, changeId);
      return Optional.of(new Begun(key, stored.version(), changeId));
    } catch (StoreException.VersionConflict conflict) {
      return judge(conflict.current());
    } catch (StoreException.AnswerLost ignored) {
      mayBeWritten = true;
      return readBack();
    } catch (StoreException ignored) {
      return Optional.of(new Refused(NotRunReason.STORE_UNAVAILABLE));
    }
  }

  private Optional<AttemptStart> readBack() {
    try {
      Optional<StoredObject> found = store.get(key);
      return found.isEmpty() ? Optional.empty() : judge(found);
    } catch (StoreException.AnswerLost ignored) {
      return Optional.empty();
    } catch (StoreException ignored) {
      return Optional.of(new Refused(NotRunReason.STORE_UNAVAILABLE));
    }
  }

  private Optional<AttemptStart> judge(Optional<StoredObject> current) {
    if (current.isEmpty() || current.get().deleted()) {
      expectedVersion = 0;
      return Optional.empty();
    }
    StoredObject attempt = current.get();
    if (attempt.changeId().equals(changeId)) {
      return Optional.of(new Begun(key, attempt.version(), changeId));
    }
    if (AttemptBody.isExpired(attempt, wallClock.millis())) {
      expectedVersion = attempt.version();
      return Optional.empty();
    }
    return Optional.of(new Refused(NotRunReason.DUPLICATE_KEY));
  }
}
