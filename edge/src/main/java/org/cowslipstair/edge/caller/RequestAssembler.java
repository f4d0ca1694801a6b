package org.cowslipstair.edge.caller;

import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.Optional;
import java.util.OptionalLong;
import org.cowslipstair.edge.exchange.RequestMessage;
import org.cowslipstair.edge.http.BodyBuffer;

/**
 * Assembles one request of a caller from its head and the parts of its body, within the limits on
 * its size and on the memory of all request bodies. Used on the event loop.
 */
final class RequestAssembler {
  private static final long NS_PER_MS = 1_000_000L;

  private final CallerContext callerContext;
  private final HttpRequest head;
  private final QueuedResponse response;
  private final long arrivedNs;
  private final BodyBuffer body = new BodyBuffer();
  private long reservedBytes;

  /** State of the request after a part of its body. */
  sealed interface Progress {
    /** More parts follow. */
    record Incomplete() implements Progress {}

    /**
     * The request is complete; the receiver owns its body.
     *
     * @param reservedBytes memory reserved for the body, which the receiver must release
     */
    record Complete(RequestMessage message, long reservedBytes) implements Progress {}

    /** The request is malformed or too large. */
    record Rejected(HttpResponseStatus status) implements Progress {}

    /** There is no memory for the body. */
    record OutOfMemory() implements Progress {}
  }

  /**
   * Creates an assembler without a body.
   *
   * @param response response to the request
   * @param arrivedNs monotonic time at which the head arrived
   */
  RequestAssembler(
      CallerContext callerContext, HttpRequest head, QueuedResponse response, long arrivedNs) {
    this.callerContext = callerContext;
    this.head = head;
    this.response = response;
    this.arrivedNs = arrivedNs;
  }

  QueuedResponse response() {
    return response;
  }

  Optional<String> requestId() {
    return Optional.ofNullable(head.headers().get(callerContext.headers().requestId()));
  }

  /** Returns the time that the caller waits in total, in milliseconds; empty if it did not say. */
  OptionalLong deadlineMs() {
    return RequestValidator.parseMillis(head.headers(), callerContext.headers().deadlineMs());
  }

  boolean isRepeatable() {
    return callerContext.isRepeatable(head);
  }

  /** Adds a part of the body. After any other result than incomplete, no part may be added. */
  Progress add(HttpContent content) {
    if (content.decoderResult().isFailure()) {
      return new Progress.Rejected(HttpResponseStatus.BAD_REQUEST);
    }
    int bytes = content.content().readableBytes();
    if (body.size() + (long) bytes > callerContext.bounds().maxBodyBytes()) {
      return new Progress.Rejected(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
    }
    if (!callerContext.memory().tryReserve(bytes)) {
      return new Progress.OutOfMemory();
    }
    reservedBytes += bytes;
    if (bytes > 0) {
      body.add(content.content());
    }
    return content instanceof LastHttpContent
        ? new Progress.Complete(message(), reservedBytes)
        : new Progress.Incomplete();
  }

  private RequestMessage message() {
    OptionalLong deadlineMs = deadlineMs();
    OptionalLong deadlineNs =
        deadlineMs.isPresent()
            ? OptionalLong.of(arrivedNs + deadlineMs.getAsLong() * NS_PER_MS)
            : OptionalLong.empty();
    boolean hasBody = HttpUtil.isContentLengthSet(head) || HttpUtil.isTransferEncodingChunked(head);
    return new RequestMessage(
        head.method(),
        head.uri(),
        head.headers(),
        body.take(),
        hasBody,
        requestId(),
        deadlineNs,
        arrivedNs,
        Optional.empty(),
        Optional.empty());
  }

  /** Releases the body of an incomplete request and its memory. */
  void discard() {
    body.release();
    callerContext.memory().release(reservedBytes);
  }
}
