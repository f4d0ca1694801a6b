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
import org.cowslipstair.model.pool.CallEnd;
import org.cowslipstair.model.pool.CallReport;
import org.cowslipstair.port.BackendTransport.BackendAnswer;
import org.cowslipstair.port.MonotonicClock;

/**
 * Answer that gives its slot back once: when the body was read to its end, broke off, or was closed
 * before that. The reported service time leaves out the time that the reader takes between reads.
 */
final class TrackedAnswer implements BackendAnswer {
  private final BackendName backend;
  private final int attempt;
  private final BackendAnswer answer;
  private final MonotonicClock clock;
  private final Consumer<CallReport> release;
  private final InvariantMonitor monitor;
  private final long headTimeNs;
  private final long deadlineNs;
  private final long expectedBytes;
  private InputStream body;
  private long readTimeNs;
  private long receivedBytes;
  private boolean ended;

  /**
   * Wraps an answer.
   *
   * @param headTimeNs time from sending the call to the head of the answer
   * @param deadlineNs monotonic time at which the transport gives the call up
   * @param release gives the slot back
   */
  TrackedAnswer(
      BackendName backend,
      int attempt,
      String method,
      BackendAnswer answer,
      long headTimeNs,
      long deadlineNs,
      MonotonicClock clock,
      Consumer<CallReport> release,
      InvariantMonitor monitor) {
    this.backend = backend;
    this.attempt = attempt;
    this.answer = answer;
    this.headTimeNs = headTimeNs;
    this.deadlineNs = deadlineNs;
    this.clock = clock;
    this.release = release;
    this.monitor = monitor;
    this.expectedBytes = AnswerLength.of(method, answer);
    this.body = new CheckedBody(answer.body());
    if (expectedBytes == 0) {
      end(CallEnd.ANSWERED);
    }
  }

  BackendName backend() {
    return backend;
  }

  int attempt() {
    return attempt;
  }

  /** Returns the time that the backend server has taken so far. */
  long backendTimeNs() {
    return headTimeNs + readTimeNs;
  }

  /** Returns the length that the head announces, or -1. */
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
    return answer.status();
  }

  @Override
  public List<HeaderField> headers() {
    return answer.headers();
  }

  @Override
  public InputStream body() {
    return body;
  }

  @Override
  public List<HeaderField> trailers() throws IOException {
    return answer.trailers();
  }

  @Override
  public void close() {
    end(CallEnd.CANCELLED);
    answer.close();
  }

  private synchronized void end(CallEnd how) {
    if (ended) {
      return;
    }
    ended = true;
    release.accept(new CallReport(how, headTimeNs + readTimeNs));
    if (how == CallEnd.ANSWERED && expectedBytes >= 0) {
      long wrongBytes = Math.abs(expectedBytes - receivedBytes);
      monitor.checkAtMost(Invariant.WHOLE_ANSWER, backend.value(), wrongBytes, 0);
    }
  }

  private final class CheckedBody extends InputStream {
    private final InputStream source;

    CheckedBody(InputStream source) {
      this.source = source;
    }

    @Override
    public int read() throws IOException {
      byte[] one = new byte[1];
      int count = read(one, 0, 1);
      return count < 0 ? -1 : one[0] & 0xff;
    }

    @Override
    public int read(byte[] target, int offset, int length) throws IOException {
      if (length == 0) {
        return 0;
      }
      long beforeNs = clock.nowNs();
      int count = readOrEnd(target, offset, length);
      readTimeNs += clock.nowNs() - beforeNs;
      if (count >= 0) {
        receivedBytes += count;
        return count;
      }
      if (expectedBytes >= 0 && receivedBytes < expectedBytes) {
        end(CallEnd.FAILED);
        throw new AnswerCutShortException(backend, receivedBytes, expectedBytes);
      }
      end(CallEnd.ANSWERED);
      return -1;
    }

    private int readOrEnd(byte[] target, int offset, int length) throws IOException {
      try {
        return source.read(target, offset, length);
      } catch (IOException e) {
        end(endOf(e));
        throw e;
      }
    }

    private CallEnd endOf(IOException e) {
      boolean interrupted =
          e instanceof InterruptedIOException || Thread.currentThread().isInterrupted();
      if (clock.nowNs() >= deadlineNs) {
        return CallEnd.TIMED_OUT;
      }
      return interrupted ? CallEnd.CANCELLED : CallEnd.FAILED;
    }

    @Override
    public void close() {
      TrackedAnswer.this.close();
    }
  }
}
