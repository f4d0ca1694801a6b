package org.cowslipstair.cli;

import java.io.Serial;
import java.util.Collection;
import java.util.Optional;
import org.cowslipstair.model.config.ObjectKey;
import org.cowslipstair.port.StoreException;

/** A command that failed, with the exit code for it. */
abstract sealed class CliException extends Exception {
  @Serial private static final long serialVersionUID = 1L;
  private final ExitCode exitCode;

  private CliException(ExitCode exitCode, String message) {
    super(message);
    this.exitCode = exitCode;
  }

  ExitCode exitCode() {
    return exitCode;
  }

  /** Returns the failure that a failed call of the store means to the operator. */
  static CliException of(StoreException e) {
    return switch (e) {
      case StoreException.VersionConflict conflict -> new Conflict(conflict);
      case StoreException.Unavailable _, StoreException.AnswerLost _ -> new StoreFailed(e);
      case StoreException.RevisionGone _, StoreException.Malformed _ -> new StoreFailed(e);
    };
  }

  /** The arguments are not understood. */
  static final class Usage extends CliException {
    @Serial private static final long serialVersionUID = 1L;

    Usage(String argument, String accepted) {
      super(ExitCode.USAGE, "\"%s\" is not accepted; accepted: %s".formatted(argument, accepted));
    }
  }

  /** Files or values that are not valid. */
  static final class InvalidInput extends CliException {
    @Serial private static final long serialVersionUID = 1L;

    InvalidInput(Exception cause) {
      super(ExitCode.INVALID_INPUT, cause.getMessage());
      initCause(cause);
    }
  }

  /** Other objects still refer to the object. */
  static final class StillReferenced extends CliException {
    @Serial private static final long serialVersionUID = 1L;

    StillReferenced(ObjectKey key, Collection<ObjectKey> by) {
      super(ExitCode.INVALID_INPUT, "%s is still referred to by %s".formatted(key, by));
    }
  }

  /** Somebody else changed the object. */
  static final class Conflict extends CliException {
    @Serial private static final long serialVersionUID = 1L;

    Conflict(StoreException.VersionConflict cause) {
      super(
          ExitCode.CONFLICT,
          cause.getMessage() + ": somebody else changed it; look at it and try again");
    }
  }

  /** Somebody else changed the same label meanwhile. */
  static final class LabelConflict extends CliException {
    @Serial private static final long serialVersionUID = 1L;

    LabelConflict(ObjectKey key, String label, Optional<String> theirs, Optional<String> ours) {
      super(
          ExitCode.CONFLICT,
          "%s: label \"%s\" was changed meanwhile to %s; your value is %s"
              .formatted(key, label, show(theirs), show(ours)));
    }

    private static String show(Optional<String> value) {
      return value.map(v -> "\"" + v + "\"").orElse("no value");
    }
  }

  /** The store can't be reached or is not understood. */
  static final class StoreFailed extends CliException {
    @Serial private static final long serialVersionUID = 1L;

    StoreFailed(StoreException cause) {
      super(ExitCode.STORE_UNAVAILABLE, cause.getMessage());
      initCause(cause);
    }
  }

  /** Not every gateway had the change in force in time. */
  static final class NotInForce extends CliException {
    @Serial private static final long serialVersionUID = 1L;

    NotInForce(long revision, Collection<String> lagging) {
      super(
          ExitCode.NOT_IN_FORCE,
          "revision %d is accepted but not yet in force on: %s"
              .formatted(revision, String.join(", ", lagging)));
    }
  }

  /** Gateways did not carry out a request. */
  static final class GatewaysFailed extends CliException {
    @Serial private static final long serialVersionUID = 1L;

    GatewaysFailed(Collection<String> failures) {
      super(ExitCode.NOT_IN_FORCE, "failed on: " + String.join(", ", failures));
    }
  }

  /** There is no such thing. */
  static final class NotFound extends CliException {
    @Serial private static final long serialVersionUID = 1L;

    NotFound(String thing, String name) {
      super(ExitCode.NOT_FOUND, "%s \"%s\" does not exist".formatted(thing, name));
    }
  }
}
