package org.cowslipstair.logic.call;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.InterruptedIOException;
import java.util.List;
import java.util.function.Consumer;
import org.cowslipstair.logic.invariant.Invariant;
import org.cowslipstair.logic.invariant.InvariantMonitor;
import org.cowslipstair.model.call.HeaderField;
import org.cowslipstair.model.config.BackendName;
import org.cowslipstair.model.pool.CallOutcome;
import org.cowslipstair.model.pool.CallReport;
import org.cowslipstair.port.BackendTransport.BackendResponse;
import org.cowslipstair.port.MonotonicClock;

/**
 * Response that releases its slot exactly once: when the body has been read to its end, when
 * reading it fails, or when it is closed early. The reported service time excludes the reader's
 * time between reads.
 */
final class TrackedResponse implements BackendResponse {
  private final BackendName backend;
  private final int attempt;
  private final BackendResponse response;
  private final MonotonicClock clock;
  private final Consumer<CallReport> release;
  private final InvariantMonitor monitor;
  private final long headTimeNs;
  private final long deadlineNs;
  private final long expectedBytes;
  private InputStream body;
  private long readTimeNs;
  private long receivedBytes;
  private boolean completed;

  /**
   * Wraps a response.
   *
   * @param headTimeNs time from sending the call to receiving the response head
   * @param deadlineNs monotonic time at which the transport aborts the call
   * @param release releases the slot
   */
  TrackedResponse(
      BackendName backend,
      int attempt,
      String method,
      BackendResponse response,
      long headTimeNs,
      long deadlineNs,
      MonotonicClock clock,
      Consumer<CallReport> release,
      InvariantMonitor monitor) {
    this.backend = backend;
    this.attempt = attempt;
    this.response = response;
    this.headTimeNs = headTimeNs;
    this.deadlineNs = deadlineNs;
    this.clock = clock;
    this.release = release;
    this.monitor = monitor;
    this.expectedBytes = ResponseLength.of(method, response);
    this.body = new TrackedBody(response.body());
    if (expectedBytes == 0) {
      complete(CallOutcome.ANSWERED);
    }
  }

  BackendName backend() {
    return backend;
  }

  int attempt() {
    return attempt;
  }

  /** Returns the time spent waiting for the backend server so far. */
  long backendTimeNs() {
    return headTimeNs + readTimeNs;
  }

  /** Returns the body length announced by the head, or -1 if unknown. */
  long expectedBytes() {
    return expectedBytes;
  }

  /** Reads the whole body into memory. */
  void buffer() throws IOException {
    byte[] bytes = body.readAllBytes();
    body = new ByteArrayInputStream(bytes);
  }

  @Override
  public int status() {
    return response.status();
  }

  @Override
  public List<HeaderField> headers() {
    return response.headers();
  }

  @Override
  public InputStream body() {
    return body;
  }

  @Override
  public List<HeaderField> trailers() throws IOException {
    return response.trailers();
  }

  @Override
  public void close() {
    complete(CallOutcome.CANCELLED);
    response.close();
  }

  private synchronized void complete(CallOutcome end) {
    if (completed) {
      return;
    }
    completed = true;
    release.accept(new CallReport(end, headTimeNs + readTimeNs));
    if (end == CallOutcome.ANSWERED && expectedBytes >= 0) {
      long lengthDifferenceBytes = Math.abs(expectedBytes - receivedBytes);
      monitor.checkAtMost(Invariant.WHOLE_ANSWER, backend.value(), lengthDifferenceBytes, 0);
    }
  }

  private final class TrackedBody extends InputStream {
    private final InputStream source;

    TrackedBody(InputStream source) {
      this.source = source;
    }

    @Override
    public int read() throws IOException {
      byte[] singleByte = new byte[1];
      int count = read(singleByte, 0, 1);
      return count < 0 ? -1 : singleByte[0] & 0xff;
    }

    @Override
    public int read(byte[] target, int offset, int length) throws IOException {
      if (length == 0) {
        return 0;
      }
      long readStartNs = clock.nowNs();
      int count = readSource(target, offset, length);
      readTimeNs += clock.nowNs() - readStartNs;
      if (count >= 0) {
        receivedBytes += count;
        return count;
      }
      if (expectedBytes >= 0 && receivedBytes < expectedBytes) {
        complete(CallOutcome.FAILED);
        throw new ResponseTruncatedException(backend, receivedBytes, expectedBytes);
      }
      complete(CallOutcome.ANSWERED);
      return -1;
    }

    private int readSource(byte[] target, int offset, int length) throws IOException {
      try {
        return source.read(target, offset, length);
      } catch (IOException e) {
        complete(classifyFailure(e));
        throw e;
      }
    }

    private CallOutcome classifyFailure(IOException e) {
      boolean interrupted =
          e instanceof InterruptedIOException || Thread.currentThread().isInterrupted();
      if (clock.nowNs() >= deadlineNs) {
        return CallOutcome.TIMED_OUT;
      }
      return interrupted ? CallOutcome.CANCELLED : CallOutcome.FAILED;
    }

    @Override
    public void close() {
      TrackedResponse.this.close();
    }
  }
}
