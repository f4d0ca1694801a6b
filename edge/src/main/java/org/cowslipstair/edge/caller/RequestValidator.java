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

/** Validates the head of a request (RFC 9112). */
final class RequestValidator {
  private RequestValidator() {}

  /** Returns the status to reject a request head with, or empty if the head is valid. */
  static Optional<HttpResponseStatus> rejectionStatus(HttpRequest head, CallerBounds bounds) {
    if (head.decoderResult().isFailure()) {
      return Optional.of(decoderFailureStatus(head.decoderResult().cause()));
    }
    HttpHeaders headers = head.headers();
    List<String> transferCodings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING);
    boolean isChunkedOnly =
        transferCodings.size() == 1
            && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(transferCodings.getFirst());
    if (!transferCodings.isEmpty() && !isChunkedOnly) {
      return Optional.of(HttpResponseStatus.NOT_IMPLEMENTED);
    }
    boolean hasTwoFramings =
        !transferCodings.isEmpty() && headers.contains(HttpHeaderNames.CONTENT_LENGTH);
    boolean isChunkedHttp10 =
        !transferCodings.isEmpty() && HttpVersion.HTTP_1_0.equals(head.protocolVersion());
    boolean isHostOrTargetInvalid =
        headers.getAll(HttpHeaderNames.HOST).size() != 1 || !head.uri().startsWith("/");
    if (hasTwoFramings || isChunkedHttp10 || isHostOrTargetInvalid) {
      return Optional.of(HttpResponseStatus.BAD_REQUEST);
    }
    if (HttpUtil.getContentLength(head, 0L) > bounds.maxBodyBytes()) {
      return Optional.of(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
    }
    return Optional.empty();
  }

  private static HttpResponseStatus decoderFailureStatus(Throwable cause) {
    return switch (cause) {
      case TooLongHttpLineException _ -> HttpResponseStatus.REQUEST_URI_TOO_LONG;
      case TooLongHttpHeaderException _ -> HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE;
      default -> HttpResponseStatus.BAD_REQUEST;
    };
  }

  /**
   * Parses a header with a time in milliseconds; returns empty if it is missing or not a number.
   */
  static OptionalLong parseMillis(HttpHeaders headers, String name) {
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
