package org.cowslipstair.port;

import java.io.IOException;
import java.io.InputStream;
import java.util.List;
import org.cowslipstair.model.call.HeaderField;
import org.cowslipstair.model.config.BackendServer;

/** Sends calls to backend servers. Never retries, never follows a redirect. */
public interface BackendTransport {
  /**
   * Sends a call and waits for the head of its answer.
   *
   * @throws BackendException if no answer head arrived before the deadline
   * @throws InterruptedException if the calling thread was interrupted; the call is cancelled
   */
  BackendAnswer send(BackendServer backend, BackendCall call)
      throws BackendException, InterruptedException;

  /**
   * A call to a backend server.
   *
   * @param target path and query as the caller sent them
   * @param deadlineNs monotonic time at which the call is given up
   */
  record BackendCall(
      String method, String target, List<HeaderField> headers, CallBody body, long deadlineNs) {
    /** Copies the headers. */
    public BackendCall {
      headers = List.copyOf(headers);
    }
  }

  /** Body of a call. */
  sealed interface CallBody {
    /** No body. */
    record None() implements CallBody {}

    /** A body in memory, which can be sent again. */
    record Buffered(byte[] bytes) implements CallBody {}

    /**
     * A body that can be read once.
     *
     * @param lengthBytes length, or -1 if unknown
     */
    record Streamed(InputStream stream, long lengthBytes) implements CallBody {}
  }

  /** The answer of a backend server. Closing it before the end cancels the call. */
  interface BackendAnswer extends AutoCloseable {
    /** Returns the HTTP status. */
    int status();

    /** Returns the header fields. */
    List<HeaderField> headers();

    /** Returns the body; reading throws if the body ends early. */
    InputStream body();

    /** Returns the trailer fields, known once the body was read to its end. */
    List<HeaderField> trailers() throws IOException;

    @Override
    void close();
  }
}
