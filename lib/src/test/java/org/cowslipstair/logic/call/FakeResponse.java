package org.cowslipstair.logic.call;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import org.cowslipstair.model.call.HeaderField;
import org.cowslipstair.port.BackendTransport.BackendResponse;

/** In-memory response whose body may be truncated or fail. */
final class FakeResponse implements BackendResponse {
  private final int status;
  private final List<HeaderField> headers;
  private final InputStream body;
  private final AtomicBoolean closed = new AtomicBoolean();

  private FakeResponse(int status, List<HeaderField> headers, InputStream body) {
    this.status = status;
    this.headers = headers;
    this.body = body;
  }

  static FakeResponse complete(String text) {
    return withAnnouncedLength(text, text.length());
  }

  /** Body ends after the text without an error, whatever length the head announces. */
  static FakeResponse withAnnouncedLength(String text, long length) {
    HeaderField header = new HeaderField("content-length", Long.toString(length));
    return new FakeResponse(200, List.of(header), new ByteArrayInputStream(text.getBytes()));
  }

  /** Body throws an exception after the text. */
  static FakeResponse failingAfter(String text, long length) {
    HeaderField header = new HeaderField("Content-Length", Long.toString(length));
    InputStream body =
        new InputStream() {
          private int position;

          @Override
          public int read() throws IOException {
            if (position == text.length()) {
              throw new IOException("connection reset");
            }
            return text.charAt(position++);
          }
        };
    return new FakeResponse(200, List.of(header), body);
  }

  static FakeResponse shed() {
    return new FakeResponse(
        503, List.of(new HeaderField("Backend-Not-Run", "1")), InputStream.nullInputStream());
  }

  boolean isClosed() {
    return closed.get();
  }

  @Override
  public int status() {
    return status;
  }

  @Override
  public List<HeaderField> headers() {
    return headers;
  }

  @Override
  public InputStream body() {
    return body;
  }

  @Override
  public List<HeaderField> trailers() {
    return List.of();
  }

  @Override
  public void close() {
    closed.set(true);
  }
}
