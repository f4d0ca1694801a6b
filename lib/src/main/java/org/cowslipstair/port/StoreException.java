package org.cowslipstair.port;

import java.io.Serial;
import java.util.Optional;
import org.cowslipstair.model.config.ObjectKey;
import org.cowslipstair.model.config.StoredObject;

/** A call to the platform's store that failed. */
public abstract sealed class StoreException extends Exception {
  @Serial private static final long serialVersionUID = 1L;

  private StoreException(String message) {
    super(message);
  }

  /** The object has another version than the write expected; nothing was written. */
  public static final class VersionConflict extends StoreException {
    @Serial private static final long serialVersionUID = 1L;
    private final transient Optional<StoredObject> current;

    /** Creates the exception with the object that the store holds now. */
    public VersionConflict(ObjectKey key, long expected, Optional<StoredObject> current) {
      super(
          "%s has version %d, not %d"
              .formatted(key, current.map(StoredObject::version).orElse(0L), expected));
      this.current = current;
    }

    /** Returns the object that the store holds now. */
    public Optional<StoredObject> current() {
      return current;
    }
  }

  /** The store did not take the call; nothing was written. */
  public static final class Unavailable extends StoreException {
    @Serial private static final long serialVersionUID = 1L;

    /** Creates the exception. */
    public Unavailable(String operation, String cause) {
      super("store refused %s: %s".formatted(operation, cause));
    }
  }

  /** No answer arrived; a write may have taken effect. */
  public static final class AnswerLost extends StoreException {
    @Serial private static final long serialVersionUID = 1L;

    /** Creates the exception. */
    public AnswerLost(String operation, String cause) {
      super("no answer from the store for %s: %s".formatted(operation, cause));
    }
  }

  /** The store no longer keeps the events after the given revision; list again. */
  public static final class RevisionGone extends StoreException {
    @Serial private static final long serialVersionUID = 1L;

    /** Creates the exception. */
    public RevisionGone(long afterRevision) {
      super("store keeps no events after revision %d".formatted(afterRevision));
    }
  }

  /** The store refused the body or answered with something that is not understood. */
  public static final class Malformed extends StoreException {
    @Serial private static final long serialVersionUID = 1L;

    /** Creates the exception. */
    public Malformed(String operation, String cause) {
      super("store and gateway disagree on %s: %s".formatted(operation, cause));
    }
  }
}
