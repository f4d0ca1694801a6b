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

  /** Maps a store failure to the failure and exit code that the operator sees. */
  static CliException from(StoreException e) {
    return switch (e) {
      case StoreException.VersionConflict conflict -> new Conflict(conflict);
      case StoreException.Unavailable _, StoreException.AnswerLost _ -> new StoreFailed(e);
      case StoreException.RevisionGone _, StoreException.Malformed _ -> new StoreFailed(e);
    };
  }

  /** The arguments are invalid. */
  static final class Usage extends CliException {
    @Serial private static final long serialVersionUID = 1L;

    Usage(String argument, String accepted) {
      super(ExitCode.USAGE, "\"%s\" is not accepted; accepted: %s".formatted(argument, accepted));
    }
  }

  /** Files or values are invalid. */
  static final class InvalidInput extends CliException {
    @Serial private static final long serialVersionUID = 1L;

    InvalidInput(Exception cause) {
      super(ExitCode.INVALID_INPUT, cause.getMessage());
      initCause(cause);
    }
  }

  /** The files are well-formed, and what they configure cannot work. */
  static final class FaultyConfiguration extends CliException {
    @Serial private static final long serialVersionUID = 1L;

    FaultyConfiguration(long errors) {
      super(ExitCode.INVALID_INPUT, "%d errors, see above".formatted(errors));
    }
  }

  /** Other objects still reference the object. */
  static final class StillReferenced extends CliException {
    @Serial private static final long serialVersionUID = 1L;

    StillReferenced(ObjectKey key, Collection<ObjectKey> referrers) {
      super(ExitCode.INVALID_INPUT, "%s is still referenced by %s".formatted(key, referrers));
    }
  }

  /** Another client changed the object concurrently. */
  static final class Conflict extends CliException {
    @Serial private static final long serialVersionUID = 1L;

    Conflict(StoreException.VersionConflict cause) {
      super(
          ExitCode.CONFLICT,
          cause.getMessage() + ": changed by another client; check it and try again");
    }
  }

  /** Another client changed the same label concurrently. */
  static final class LabelConflict extends CliException {
    @Serial private static final long serialVersionUID = 1L;

    LabelConflict(
        ObjectKey key, String label, Optional<String> currentValue, Optional<String> desiredValue) {
      super(
          ExitCode.CONFLICT,
          "%s: label \"%s\" was concurrently changed to %s; your value is %s"
              .formatted(key, label, format(currentValue), format(desiredValue)));
    }

    private static String format(Optional<String> value) {
      return value.map(v -> "\"" + v + "\"").orElse("no value");
    }
  }

  /** The store is unreachable or its response is invalid. */
  static final class StoreFailed extends CliException {
    @Serial private static final long serialVersionUID = 1L;

    StoreFailed(StoreException cause) {
      super(ExitCode.STORE_UNAVAILABLE, cause.getMessage());
      initCause(cause);
    }
  }

  /** The change was not in force on every gateway within the timeout. */
  static final class NotInForce extends CliException {
    @Serial private static final long serialVersionUID = 1L;

    NotInForce(long revision, Collection<String> lagging) {
      super(
          ExitCode.NOT_IN_FORCE,
          "revision %d is accepted but not yet in force on: %s"
              .formatted(revision, String.join(", ", lagging)));
    }
  }

  /** Gateways failed to execute a request. */
  static final class GatewaysFailed extends CliException {
    @Serial private static final long serialVersionUID = 1L;

    GatewaysFailed(Collection<String> failures) {
      super(ExitCode.NOT_IN_FORCE, "failed on: " + String.join(", ", failures));
    }
  }

  /** A named object, gateway, store or request does not exist. */
  static final class NotFound extends CliException {
    @Serial private static final long serialVersionUID = 1L;

    NotFound(String type, String name) {
      super(ExitCode.NOT_FOUND, "%s \"%s\" does not exist".formatted(type, name));
    }
  }
}
