package org.cowslipstair.logic.call;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import org.cowslipstair.model.call.HeaderField;
import org.cowslipstair.port.BackendTransport.BackendAnswer;

/** Answer in memory whose body may break off. */
final class FakeAnswer implements BackendAnswer {
  private final int status;
  private final List<HeaderField> headers;
  private final InputStream body;
  private final AtomicBoolean closed = new AtomicBoolean();

  private FakeAnswer(int status, List<HeaderField> headers, InputStream body) {
    this.status = status;
    this.headers = headers;
    this.body = body;
  }

  static FakeAnswer whole(String text) {
    return announced(text, text.length());
  }

  /** Ends silently after the text, whatever length its head announces. */
  static FakeAnswer announced(String text, long length) {
    HeaderField header = new HeaderField("content-length", Long.toString(length));
    return new FakeAnswer(200, List.of(header), new ByteArrayInputStream(text.getBytes()));
  }

  /** Throws after the text. */
  static FakeAnswer brokenOff(String text, long length) {
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
    return new FakeAnswer(200, List.of(header), body);
  }

  static FakeAnswer shed() {
    return new FakeAnswer(
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
