package org.cowslipstair.adapters.http;

import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import okhttp3.Call;
import okhttp3.Headers;
import okhttp3.Response;
import org.cowslipstair.model.call.HeaderField;
import org.cowslipstair.port.BackendTransport.BackendAnswer;

/** An answer whose body is read from the connection to the backend server. */
final class OkHttpBackendAnswer implements BackendAnswer {
  private final Call exchange;
  private final Response response;
  private final Runnable releaseConnection;
  private final AtomicBoolean ended = new AtomicBoolean();
  private final List<HeaderField> headers;
  private final InputStream body;

  OkHttpBackendAnswer(Call exchange, Response response, Runnable releaseConnection) {
    this.exchange = exchange;
    this.response = response;
    this.releaseConnection = releaseConnection;
    this.headers = HeaderRules.endToEnd(fields(response.headers()));
    this.body = openBody();
  }

  private InputStream openBody() {
    if (AnswerFraming.isBodiless(response)) {
      return InputStream.nullInputStream();
    }
    return new AnswerBody(response.body().byteStream());
  }

  @Override
  public int status() {
    return response.code();
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
  public List<HeaderField> trailers() throws IOException {
    return AnswerFraming.isBodiless(response) ? List.of() : fields(response.trailers());
  }

  @Override
  public void close() {
    if (!ended.compareAndSet(false, true)) {
      return;
    }
    // A body that should be empty but is announced would be waited for on a reused connection.
    if (!AnswerFraming.isBodiless(response) || response.body().contentLength() > 0) {
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

  private static List<HeaderField> fields(Headers headers) {
    List<HeaderField> fields = new ArrayList<>(headers.size());
    for (int i = 0; i < headers.size(); i++) {
      fields.add(new HeaderField(ExchangeInterceptor.wireName(headers.name(i)), headers.value(i)));
    }
    return fields;
  }

  /** Gives the connection back at the end of the body, and closes it after a failure. */
  private final class AnswerBody extends FilterInputStream {
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
      try {
        int count = super.read(bytes, offset, length);
        if (count < 0) {
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
