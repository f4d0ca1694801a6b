package org.cowslipstair.adapters.http;

import java.io.IOException;
import okhttp3.Connection;
import okhttp3.Interceptor;
import okhttp3.Request;
import okhttp3.Response;

/**
 * Stands between OkHttp and the connection. Lets each call pass once, only over a fresh connection,
 * with exactly the header fields that the caller sent, and checks that the answer is the call's
 * own.
 */
final class ExchangeInterceptor implements Interceptor {
  /** Hides Retry-After from OkHttp, which repeats a call after a 503 with the value 0. */
  static final String HIDDEN_RETRY_AFTER = "Cowslipstair-Hidden-Retry-After";

  private static final String RETRY_AFTER = "Retry-After";

  @Override
  public Response intercept(Chain chain) throws IOException {
    ExchangeTrace trace = chain.request().tag(ExchangeTrace.class);
    Connection connection = chain.connection();
    if (trace == null || connection == null) {
      throw new IOException("call without trace or connection");
    }
    if (!trace.beginAttempt()) {
      throw new IOException("call was about to be sent twice");
    }
    BackendSocket socket = (BackendSocket) connection.socket();
    if (!socket.isFresh()) {
      throw socket.bytesWritten() > 0
          ? new StaleConnectionException()
          : new IOException("new connection was closed or spoke first");
    }
    trace.sendingOn(socket);
    long readsBefore = socket.reads();
    Request exact = chain.request().newBuilder().headers(trace.wireHeaders()).build();
    Response response = chain.proceed(exact);
    if (socket.reads() == readsBefore) {
      response.close();
      throw new IOException("answer arrived before the request was sent");
    }
    AnswerFraming.check(response);
    return hideRetryAfter(response);
  }

  private static Response hideRetryAfter(Response response) {
    if (response.header(RETRY_AFTER) == null) {
      return response;
    }
    Response.Builder hidden = response.newBuilder().removeHeader(RETRY_AFTER);
    for (String value : response.headers(RETRY_AFTER)) {
      hidden.addHeader(HIDDEN_RETRY_AFTER, value);
    }
    return hidden.build();
  }

  /** Returns the name that a header field had on the wire. */
  static String wireName(String name) {
    return name.equals(HIDDEN_RETRY_AFTER) ? RETRY_AFTER : name;
  }
}
