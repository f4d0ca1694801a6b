package org.cowslipstair.edge.caller;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.cowslipstair.model.traffic.CallerBounds;

/** What the head of a request must look like (RFC 9112). */
final class RequestRules {
  private RequestRules() {}

  /** Returns the status that refuses a head, or empty if the head is acceptable. */
  static Optional<HttpResponseStatus> fault(HttpRequest head, CallerBounds bounds) {
    if (head.decoderResult().isFailure()) {
      return Optional.of(decoderFault(head.decoderResult().cause()));
    }
    HttpHeaders headers = head.headers();
    List<String> codings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING);
    boolean chunkedOnly =
        codings.size() == 1 && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.getFirst());
    if (!codings.isEmpty() && !chunkedOnly) {
      return Optional.of(HttpResponseStatus.NOT_IMPLEMENTED);
    }
    boolean twoFramings = !codings.isEmpty() && headers.contains(HttpHeaderNames.CONTENT_LENGTH);
    boolean oldChunked = !codings.isEmpty() && HttpVersion.HTTP_1_0.equals(head.protocolVersion());
    boolean badHost =
        headers.getAll(HttpHeaderNames.HOST).size() != 1 || !head.uri().startsWith("/");
    if (twoFramings || oldChunked || badHost) {
      return Optional.of(HttpResponseStatus.BAD_REQUEST);
    }
    if (HttpUtil.getContentLength(head, 0L) > bounds.maxBodyBytes()) {
      return Optional.of(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
    }
    return Optional.empty();
  }

  private static HttpResponseStatus decoderFault(Throwable cause) {
    return switch (cause) {
      case TooLongHttpLineException _ -> HttpResponseStatus.REQUEST_URI_TOO_LONG;
      case TooLongHttpHeaderException _ -> HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE;
      default -> HttpResponseStatus.BAD_REQUEST;
    };
  }

  /** Reads a time in milliseconds; empty if it is missing or not a number. */
  static OptionalLong millis(HttpHeaders headers, String name) {
    String value = headers.get(name);
    if (value == null) {
      return OptionalLong.empty();
    }
    try {
      return OptionalLong.of((long) Double.parseDouble(value.trim()));
    } catch (NumberFormatException ignored) {
      return OptionalLong.empty();
    }
  }
}
