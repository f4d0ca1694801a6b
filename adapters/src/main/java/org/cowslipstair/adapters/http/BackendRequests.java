package org.cowslipstair.adapters.http;

import java.util.Locale;
import java.util.Set;
import okhttp3.Headers;
import okhttp3.HttpUrl;
import okhttp3.Request;
import okhttp3.RequestBody;
import org.cowslipstair.model.call.CallHeaders;
import org.cowslipstair.model.call.HeaderField;
import org.cowslipstair.model.config.BackendServer;
import org.cowslipstair.port.BackendTransport.BackendRequest;
import org.cowslipstair.port.BackendTransport.BackendRequestBody;
import org.jspecify.annotations.Nullable;

/** Turns calls into OkHttp requests. */
final class BackendRequests {
  private static final Set<String> SET_BY_GATEWAY =
      Set.of("content-length", "transfer-encoding", "expect", "request-timeout-ms");
  private static final Set<String> METHODS_WITH_BODY =
      Set.of("POST", "PUT", "PATCH", "PROPPATCH", "REPORT", "QUERY");
  private static final long NS_PER_MS = 1_000_000;

  private BackendRequests() {}

  /**
   * Creates a request that can be sent once.
   *
   * @throws IllegalArgumentException if the call cannot be written as HTTP
   */
  static Request create(BackendServer backend, BackendRequest call, long remainingNs) {
    ExchangeTrace trace = new ExchangeTrace(wireHeaders(backend, call, remainingNs));
    return new Request.Builder()
        .url(url(backend, call.target()))
        .method(call.method(), body(call, trace))
        .tag(ExchangeTrace.class, trace)
        .build();
  }

  private static HttpUrl url(BackendServer backend, String target) {
    HttpUrl url = HttpUrl.parse("http://" + backend.address() + target);
    if (url == null) {
      throw new IllegalArgumentException("target \"%s\" is not valid".formatted(target));
    }
    return url;
  }

  private static @Nullable RequestBody body(BackendRequest call, ExchangeTrace trace) {
    return switch (call.body()) {
      case BackendRequestBody.None _ -> needsBody(call) ? RequestBody.create(new byte[0]) : null;
      case BackendRequestBody.Buffered(byte[] bytes) -> RequestBody.create(bytes);
      case BackendRequestBody.Streamed streamed -> new StreamedRequestBody(streamed, trace);
    };
  }

  private static boolean needsBody(BackendRequest call) {
    return METHODS_WITH_BODY.contains(call.method());
  }

  private static Headers wireHeaders(BackendServer backend, BackendRequest call, long remainingNs) {
    Headers.Builder headers = new Headers.Builder();
    if (HeaderRules.first(call.headers(), "Host").isEmpty()) {
      headers.add("Host", backend.address().toString());
    }
    for (HeaderField field : HeaderRules.endToEnd(call.headers())) {
      if (!SET_BY_GATEWAY.contains(field.name().toLowerCase(Locale.ROOT))) {
        headers.addUnsafeNonAscii(field.name(), field.value());
      }
    }
    long remainingMs = Math.max(1, remainingNs / NS_PER_MS);
    headers.add(CallHeaders.TIMEOUT_MS, Long.toString(remainingMs));
    addFraming(headers, call);
    return headers.build();
  }

  private static void addFraming(Headers.Builder headers, BackendRequest call) {
    long lengthBytes =
        switch (call.body()) {
          case BackendRequestBody.None _ -> 0;
          case BackendRequestBody.Buffered(byte[] bytes) -> bytes.length;
          case BackendRequestBody.Streamed(_, long streamedBytes) -> streamedBytes;
        };
    if (call.body() instanceof BackendRequestBody.None && !needsBody(call)) {
      return;
    }
    if (lengthBytes < 0) {
      headers.add("Transfer-Encoding", "chunked");
    } else {
      headers.add("Content-Length", Long.toString(lengthBytes));
    }
  }
}
