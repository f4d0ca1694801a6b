package org.cowslipstair.adapters.http;

import java.nio.ByteBuffer;
import org.cowslipstair.model.call.CallHeaders;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.handler.ErrorHandler;
import org.eclipse.jetty.util.Callback;
import org.jspecify.annotations.Nullable;

/** Answers requests that the HTTP library refuses to read. */
final class ProblemErrorHandler extends ErrorHandler {
  private static final int BAD_REQUEST = 400;

  @Override
  public boolean handle(Request request, Response response, Callback callback) {
    int status = response.getStatus() < BAD_REQUEST ? BAD_REQUEST : response.getStatus();
    byte[] json = Problem.unreadable(status).toJson();
    response.setStatus(status);
    response.getHeaders().put(HttpHeader.CONTENT_TYPE, Problem.MEDIA_TYPE);
    response.getHeaders().put(HttpHeader.CONTENT_LENGTH, json.length);
    response.getHeaders().put(HttpHeader.CONNECTION, "close");
    response.getHeaders().put(new HttpField(CallHeaders.OUTCOME, CallHeaders.NOT_RUN));
    response.write(true, ByteBuffer.wrap(json), callback);
    return true;
  }

  @Override
  public boolean errorPageForMethod(@Nullable String method) {
    return true;
  }
}
