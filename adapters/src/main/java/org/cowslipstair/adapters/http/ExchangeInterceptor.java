package org.cowslipstair.adapters.http;

import java.io.IOException;
import java.util.Optional;
import okhttp3.Connection;
import okhttp3.Headers;
import okhttp3.Interceptor;
import okhttp3.Request;
import okhttp3.Response;
import org.cowslipstair.model.call.CallHeaders;

/**
 * Stands between OkHttp and the connection. Lets each call pass once, only over a fresh connection,
 * with exactly the header fields that the caller sent, and checks that the answer is the call's
 * own.
 *
 * <p>OkHttp itself sees each answer as a plain 200 without header fields, so that no status or
 * header field makes it repeat, redirect, decompress or refuse anything.
 */
final class ExchangeInterceptor implements Interceptor {
  private static final int OK = 200;
  private static final Headers NO_HEADERS = new Headers.Builder().build();

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
    Response response = proceed(chain, exact);
    if (socket.reads() == readsBefore) {
      throw new IOException("answer arrived before the request was sent");
    }
    checkId(response, trace.wireHeaders(), socket);
    trace.answered(AnswerFraming.check(response));
    return response.newBuilder().code(OK).headers(NO_HEADERS).build();
  }

  /** OkHttp rejects a status with a sign by an unchecked exception. */
  private static Response proceed(Chain chain, Request request) throws IOException {
    try {
      return chain.proceed(request);
    } catch (IllegalStateException e) {
      throw new IOException("answer cannot be read", e);
    }
  }

  /** Throws if an answer shows the id of another call, or is a refusal that may be a copy. */
  private static void checkId(Response response, Headers sent, BackendSocket socket)
      throws IOException {
    Optional<String> id = Optional.ofNullable(response.header(CallHeaders.REQUEST_ID));
    if (id.isPresent() && !id.get().equals(sent.get(CallHeaders.REQUEST_ID))) {
      throw new IOException("answer to another request");
    }
    if (response.header(CallHeaders.BACKEND_NOT_RUN) != null && !socket.recordRefusal(id)) {
      throw new IOException("refusal may be a copy of an earlier one");
    }
  }
}
