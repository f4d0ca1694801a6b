package org.cowslipstair.adapters.http;

import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.Serial;
import org.cowslipstair.port.MonotonicClock;

/** A caller's body, refused when it grows too large or arrives too slowly. */
final class CallerBodyStream extends FilterInputStream {
  private static final double NS_PER_SECOND = 1e9;
  private final CallerLimits limits;
  private final MonotonicClock clock;
  private final Runnable onBytes;
  private long receivedBytes;
  private long waitedNs;

  /**
   * Creates a stream.
   *
   * @param onBytes called whenever bytes of the body have been read
   */
  CallerBodyStream(InputStream in, CallerLimits limits, MonotonicClock clock, Runnable onBytes) {
    super(in);
    this.limits = limits;
    this.clock = clock;
    this.onBytes = onBytes;
  }

  @Override
  public int read() throws IOException {
    byte[] one = new byte[1];
    return read(one, 0, 1) < 0 ? -1 : one[0] & 0xff;
  }

  @Override
  public int read(byte[] bytes, int offset, int length) throws IOException {
    long beforeNs = clock.nowNs();
    int count = in.read(bytes, offset, length);
    waitedNs += clock.nowNs() - beforeNs;
    if (count < 0) {
      return count;
    }
    receivedBytes += count;
    onBytes.run();
    if (receivedBytes > limits.maxBodyBytes()) {
      throw new TooLargeException();
    }
    requireRate();
    return count;
  }

  /** Counts only the time spent waiting for the caller, and grants one idle timeout. */
  private void requireRate() throws TooSlowException {
    double graceSeconds = limits.bodyIdleTimeoutMs() / 1e3;
    double countedSeconds = waitedNs / NS_PER_SECOND - graceSeconds;
    if (countedSeconds > 0 && receivedBytes < countedSeconds * limits.minBodyBytesPerSecond()) {
      throw new TooSlowException();
    }
  }

  /** The body is larger than allowed. */
  static final class TooLargeException extends IOException {
    @Serial private static final long serialVersionUID = 1L;

    TooLargeException() {
      super("request body is too large");
    }
  }

  /** The body arrives more slowly than allowed. */
  static final class TooSlowException extends IOException {
    @Serial private static final long serialVersionUID = 1L;

    TooSlowException() {
      super("request body arrives too slowly");
    }
  }
}
