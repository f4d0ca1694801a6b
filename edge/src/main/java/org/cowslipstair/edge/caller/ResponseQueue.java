package org.cowslipstair.edge.caller;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import java.util.ArrayDeque;
import java.util.Deque;
import org.jspecify.annotations.Nullable;

/**
 * The responses of one connection of a caller. They are written in the order of the requests; one
 * that is ready earlier is held until its turn. Used on the event loop.
 */
final class ResponseQueue {
  private final ChannelHandlerContext context;
  private final Runnable onResponseWritten;
  private final Deque<QueuedResponse> responses = new ArrayDeque<>();
  private @Nullable ChannelFuture lastWrite;
  private boolean closing;
  private boolean writing;
  private boolean callerDisconnected;

  /**
   * Creates an empty queue.
   *
   * @param onResponseWritten called for each response that was written, in order
   */
  ResponseQueue(ChannelHandlerContext context, Runnable onResponseWritten) {
    this.context = context;
    this.onResponseWritten = onResponseWritten;
  }

  ChannelHandlerContext context() {
    return context;
  }

  /** Adds the response to the next request. */
  QueuedResponse add(HttpMethod method) {
    QueuedResponse response = new QueuedResponse(this, HttpMethod.HEAD.equals(method));
    responses.add(response);
    return response;
  }

  /** Makes the last response that was added the last one of the connection. */
  void closeAfterLast() {
    closing = true;
  }

  /** Returns whether the responses added so far are the last ones. */
  boolean isClosing() {
    return closing;
  }

  /** Returns whether every response has been written. */
  boolean isEmpty() {
    return responses.isEmpty();
  }

  /** Writes a part to the connection, which may hold it until the caller reads. */
  void write(HttpObject part) {
    lastWrite = context.write(part);
  }

  /** Returns whether everything written has been sent. */
  boolean isSent() {
    return lastWrite == null || lastWrite.isDone();
  }

  /** Runs an action once everything written so far has been sent, or the connection is closed. */
  void whenSent(Runnable action) {
    if (lastWrite == null) {
      action.run();
    } else {
      lastWrite.addListener(_ -> action.run());
    }
  }

  /** Returns the number of bytes written that have not been sent. */
  long unsentBytes() {
    ChannelOutboundBuffer buffer = context.channel().unsafe().outboundBuffer();
    return buffer == null ? 0 : buffer.totalPendingWriteBytes() - buffer.currentProgress();
  }

  /** Writes what is ready, up to the first response that is not complete. */
  void writeReady() {
    if (writing) {
      return;
    }
    writing = true;
    while (!callerDisconnected && !responses.isEmpty() && responses.peek().writeReady()) {
      responses.remove();
      onResponseWritten.run();
    }
    writing = false;
  }

  /** Returns whether a response is the one whose turn it is. */
  boolean isCurrent(QueuedResponse response) {
    return responses.peek() == response;
  }

  /** Sets the Connection header of a response that is about to be written. */
  void setConnectionHeader(HttpHeaders headers) {
    if (closing && responses.size() == 1) {
      headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
  }

  /** Closes the connection because a response cannot be completed. */
  void abort() {
    context.close();
  }

  /** Notifies the response whose turn it is whether more parts can be written. */
  void onWritabilityChanged() {
    QueuedResponse current = responses.peek();
    if (current != null) {
      current.onWritabilityChanged(context.channel().isWritable());
    }
  }

  boolean isCallerDisconnected() {
    return callerDisconnected;
  }

  /** Discards all further writes, since the caller has disconnected. */
  void onCallerDisconnected() {
    callerDisconnected = true;
    responses.forEach(QueuedResponse::discard);
    responses.clear();
  }
}
