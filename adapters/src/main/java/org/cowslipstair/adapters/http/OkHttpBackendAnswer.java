package org.cowslipstair.adapters.http;

import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import okhttp3.Call;
import okhttp3.Response;
import org.cowslipstair.model.call.HeaderField;
import org.cowslipstair.port.BackendTransport.BackendResponse;

/** An answer whose body is read from the connection to the backend server. */
final class OkHttpBackendAnswer implements BackendResponse {
  private final Call exchange;
  private final Response response;
  private final Runnable releaseConnection;
  private final AtomicBoolean ended = new AtomicBoolean();
  private final AnswerHead head;
  private final InputStream body;

  OkHttpBackendAnswer(
      Call exchange, Response response, AnswerHead head, Runnable releaseConnection) {
    this.exchange = exchange;
    this.response = response;
    this.releaseConnection = releaseConnection;
    this.head = head;
    this.body = openBody();
  }

  private InputStream openBody() {
    if (head.bodiless()) {
      return InputStream.nullInputStream();
    }
    return new AnswerBody(response.body().byteStream());
  }

  @Override
  public int status() {
    return head.status();
  }

  @Override
  public List<HeaderField> headers() {
    return head.headers();
  }

  @Override
  public InputStream body() {
    return body;
  }

  @Override
  public List<HeaderField> trailers() throws IOException {
    return head.bodiless() ? List.of() : AnswerHead.fields(response.trailers());
  }

  @Override
  public void close() {
    if (!ended.compareAndSet(false, true)) {
      return;
    }
    // Unread bytes, or a length announced by an answer without a body, would spoil the connection.
    if (response.body().contentLength() != 0) {
      exchange.cancel();
    }
    response.close();
    releaseConnection.run();
  }

  private void bodyEnded() {
    if (ended.compareAndSet(false, true)) {
      response.close();
      releaseConnection.run();
    }
  }

  /** Gives the connection back at the end of the body, and closes it after a failure. */
  private final class AnswerBody extends FilterInputStream {
    private boolean atEnd;

    AnswerBody(InputStream in) {
      super(in);
    }

    @Override
    public int read() throws IOException {
      byte[] one = new byte[1];
      return read(one, 0, 1) < 0 ? -1 : one[0] & 0xff;
    }

    @Override
    public int read(byte[] bytes, int offset, int length) throws IOException {
      if (atEnd) {
        return -1;
      }
      try {
        int count = super.read(bytes, offset, length);
        if (count < 0) {
          atEnd = true;
          bodyEnded();
        }
        return count;
      } catch (IOException e) {
        OkHttpBackendAnswer.this.close();
        throw e;
      }
    }

    @Override
    public void close() {
      OkHttpBackendAnswer.this.close();
    }
  }
}
