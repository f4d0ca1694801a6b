package org.cowslipstair.adapters.http;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import okhttp3.MediaType;
import okhttp3.RequestBody;
import okio.BufferedSink;
import org.cowslipstair.port.BackendTransport.BackendRequestBody;
import org.jspecify.annotations.Nullable;

/**
 * Sends a caller's body while it arrives, through one bounded buffer, and only once. Stops when the
 * backend server answers before the end: the write after that fails, and OkHttp reads the answer.
 */
final class StreamedRequestBody extends RequestBody {
  private static final int BUFFER_BYTES = 16 * 1024;
  private final BackendRequestBody.Streamed body;
  private final ExchangeTrace trace;

  StreamedRequestBody(BackendRequestBody.Streamed body, ExchangeTrace trace) {
    this.body = body;
    this.trace = trace;
  }

  @Override
  public @Nullable MediaType contentType() {
    return null;
  }

  @Override
  public long contentLength() {
    return body.lengthBytes();
  }

  @Override
  public boolean isOneShot() {
    return true;
  }

  @Override
  public void writeTo(BufferedSink sink) throws IOException {
    InputStream stream = body.stream();
    byte[] buffer = new byte[BUFFER_BYTES];
    long leftBytes = body.lengthBytes() < 0 ? Long.MAX_VALUE : body.lengthBytes();
    while (leftBytes > 0) {
      int count = readFromCaller(stream, buffer, (int) Math.min(buffer.length, leftBytes));
      if (count < 0) {
        requireWhole(leftBytes);
        return;
      }
      if (trace.isAnswerWaiting()) {
        trace.endRequest();
      }
      sink.write(buffer, 0, count);
      sink.flush();
      leftBytes -= count;
    }
  }

  private int readFromCaller(InputStream stream, byte[] buffer, int maxBytes) throws IOException {
    trace.beginCallerRead();
    try {
      return stream.read(buffer, 0, maxBytes);
    } catch (IOException e) {
      trace.callerFailed(e);
      throw e;
    } finally {
      trace.endCallerRead();
    }
  }

  private void requireWhole(long leftBytes) throws IOException {
    if (body.lengthBytes() < 0) {
      return;
    }
    EOFException cutShort = new EOFException("body ended " + leftBytes + " bytes early");
    trace.callerFailed(cutShort);
    throw cutShort;
  }
}
