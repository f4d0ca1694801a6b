package org.cowslipstair.edge.caller;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Deque;
import org.cowslipstair.edge.exchange.Responder;
import org.jspecify.annotations.Nullable;

/**
 * The response to one request. Its parts are held until all earlier responses of the connection
 * have been written; meanwhile a streamed response is paused.
 */
final class QueuedResponse implements Responder {
  private final ResponseQueue queue;
  private final boolean isHeadRequest;
  private final Deque<HttpObject> unwrittenParts = new ArrayDeque<>();
  private @Nullable WritabilityListener writabilityListener;
  private boolean finished;
  private boolean aborted;

  QueuedResponse(ResponseQueue queue, boolean isHeadRequest) {
    this.queue = queue;
    this.isHeadRequest = isHeadRequest;
  }

  /** Writes a response without a body. */
  void writeEmpty(HttpResponseStatus status) {
    writeResponse(status, new DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER);
  }

  @Override
  public void writeResponse(HttpResponseStatus status, HttpHeaders headers, ByteBuf body) {
    boolean hasContentLength = isHeadRequest && headers.contains(HttpHeaderNames.CONTENT_LENGTH);
    if (!hasContentLength && canHaveContentLength(status)) {
      headers.set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
    }
    add(
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, status, body, headers, EmptyHttpHeaders.INSTANCE));
    finish();
  }

  private static boolean canHaveContentLength(HttpResponseStatus status) {
    return status.code() != HttpResponseStatus.NO_CONTENT.code()
        && status.code() != HttpResponseStatus.NOT_MODIFIED.code();
  }

  @Override
  public void startStream(
      HttpResponseStatus status, HttpHeaders headers, WritabilityListener listener) {
    writabilityListener = listener;
    if (!headers.contains(HttpHeaderNames.CONTENT_LENGTH)) {
      headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
    }
    add(new DefaultHttpResponse(HttpVersion.HTTP_1_1, status, headers));
    if (!queue.isCurrent(this)) {
      listener.onWritabilityChanged(false);
    }
  }

  @Override
  public void writePart(ByteBuf part) {
    add(new DefaultHttpContent(part));
    queue.writeReady();
  }

  @Override
  public void endStream() {
    add(LastHttpContent.EMPTY_LAST_CONTENT);
    finish();
  }

  @Override
  public void abort() {
    writabilityListener = null;
    if (queue.isCurrent(this)) {
      queue.abort();
    } else {
      aborted = true;
    }
  }

  private void add(HttpObject part) {
    if (queue.isCallerDisconnected()) {
      ReferenceCountUtil.release(part);
    } else {
      unwrittenParts.add(part);
    }
  }

  private void finish() {
    finished = true;
    writabilityListener = null;
    queue.writeReady();
  }

  /**
   * Writes the parts that are ready; called when all earlier responses have been written.
   *
   * @return whether the response has been written completely
   */
  boolean writeReady() {
    boolean hasParts = !unwrittenParts.isEmpty();
    while (!unwrittenParts.isEmpty()) {
      HttpObject part = unwrittenParts.remove();
      if (part instanceof HttpResponse head) {
        queue.setConnectionHeader(head.headers());
      }
      queue.write(part);
    }
    if (hasParts) {
      queue.context().flush();
    }
    if (aborted) {
      queue.abort();
    } else if (!finished) {
      onWritabilityChanged(queue.context().channel().isWritable());
    }
    return finished;
  }

  /** Notifies a streaming exchange whether more parts can be written. */
  void onWritabilityChanged(boolean isWritable) {
    if (writabilityListener != null) {
      writabilityListener.onWritabilityChanged(isWritable);
    }
  }

  /** Releases the parts that were not written. */
  void discard() {
    writabilityListener = null;
    unwrittenParts.forEach(ReferenceCountUtil::release);
    unwrittenParts.clear();
  }
}
