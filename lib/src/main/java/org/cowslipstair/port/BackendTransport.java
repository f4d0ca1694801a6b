package org.cowslipstair.port;

import java.io.IOException;
import java.io.InputStream;
import java.util.List;
import org.cowslipstair.model.call.HeaderField;
import org.cowslipstair.model.config.BackendServer;

/** Sends calls to backend servers. Does not retry and does not follow redirects. */
public interface BackendTransport {
  /**
   * Sends a call and waits for the response headers.
   *
   * @throws BackendException if the response headers did not arrive before the deadline
   * @throws InterruptedException if the calling thread was interrupted; the call is cancelled
   */
  BackendResponse send(BackendServer backend, BackendRequest call)
      throws BackendException, InterruptedException;

  /**
   * A call to a backend server.
   *
   * @param target path and query, unchanged from the request of the caller
   * @param deadlineNs monotonic time at which the call is aborted
   */
  record BackendRequest(
      String method,
      String target,
      List<HeaderField> headers,
      BackendRequestBody body,
      long deadlineNs) {
    /** Copies the headers. */
    public BackendRequest {
      headers = List.copyOf(headers);
    }
  }

  /** Body of a call. */
  sealed interface BackendRequestBody {
    /** No body. */
    record None() implements BackendRequestBody {}

    /** A body in memory, which can be sent more than once. */
    record Buffered(byte[] bytes) implements BackendRequestBody {}

    /**
     * A body that can be read only once.
     *
     * @param lengthBytes length in bytes; -1 if unknown
     */
    record Streamed(InputStream stream, long lengthBytes) implements BackendRequestBody {}
  }

  /**
   * Response of a backend server. Closing it before the body was read completely cancels the call.
   */
  interface BackendResponse extends AutoCloseable {
    /** Returns the HTTP status code. */
    int status();

    /** Returns the header fields. */
    List<HeaderField> headers();

    /** Returns the body; reading throws an exception if the body ends prematurely. */
    InputStream body();

    /** Returns the trailer fields, which are available after the body was read completely. */
    List<HeaderField> trailers() throws IOException;

    @Override
    void close();
  }
}
