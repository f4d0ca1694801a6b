package org.cowslipstair.port;

import java.io.Serial;
import org.cowslipstair.model.config.BackendName;

/** Thrown if a call to a backend server failed before the response headers arrived. */
public abstract sealed class BackendException extends Exception {
  @Serial private static final long serialVersionUID = 1L;

  private BackendException(String message, Throwable cause) {
    super(message, cause);
  }

  /** No byte of the request was sent. */
  public static final class NotSent extends BackendException {
    @Serial private static final long serialVersionUID = 1L;

    /** Creates the exception. */
    public NotSent(BackendName backend, Throwable cause) {
      super("request to backend server \"%s\" was not sent".formatted(backend), cause);
    }
  }

  /** The connection failed after part of the request may have been sent. */
  public static final class ConnectionLost extends BackendException {
    @Serial private static final long serialVersionUID = 1L;

    /** Creates the exception. */
    public ConnectionLost(BackendName backend, Throwable cause) {
      super("connection to backend server \"%s\" was lost".formatted(backend), cause);
    }
  }

  /** The deadline passed after part of the request may have been sent. */
  public static final class DeadlinePassed extends BackendException {
    @Serial private static final long serialVersionUID = 1L;

    /** Creates the exception. */
    public DeadlinePassed(BackendName backend, Throwable cause) {
      super("backend server \"%s\" did not respond before the deadline".formatted(backend), cause);
    }
  }

  /** The caller stopped sending the request body. */
  public static final class CallerFailed extends BackendException {
    @Serial private static final long serialVersionUID = 1L;

    /** Creates the exception. */
    public CallerFailed(BackendName backend, Throwable cause) {
      super(
          "caller stopped sending the request body for backend server \"%s\"".formatted(backend),
          cause);
    }
  }
}
