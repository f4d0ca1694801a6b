package org.cowslipstair.edge.http;

import java.io.Serial;

/** An exchange with a server that ended without a whole answer. */
public abstract sealed class ServerBytesException extends Exception {
  @Serial private static final long serialVersionUID = 1L;

  private ServerBytesException(String message) {
    super(message, null, false, false);
  }

  /** The server ended the connection before the answer was whole. */
  public static final class CutShort extends ServerBytesException {
    @Serial private static final long serialVersionUID = 1L;

    /** Creates the exception. */
    public CutShort(String cause) {
      super("connection ended before the answer: " + cause);
    }
  }

  /** The server sent bytes that are not an answer. */
  public static final class Malformed extends ServerBytesException {
    @Serial private static final long serialVersionUID = 1L;

    /** Creates the exception. */
    public Malformed(String cause) {
      super("answer is malformed: " + cause);
    }
  }
}
