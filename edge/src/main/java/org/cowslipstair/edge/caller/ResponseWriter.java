package org.cowslipstair.edge.caller;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import org.cowslipstair.edge.exchange.Responder;
import org.jspecify.annotations.Nullable;

/**
 * Writes the responses on one connection of a caller, one after the other. Used on the event loop.
 */
final class ResponseWriter implements Responder {
  private final ChannelHandlerContext context;
  private final Listener listener;
  private @Nullable WritabilityListener writabilityListener;
  private boolean keepAlive = true;
  private boolean isHeadRequest;
  private boolean callerDisconnected;

  /** Receives an event for each response that was written. */
  interface Listener {
    /**
     * A response was written.
     *
     * @param closesConnection whether it told the caller that the connection will be closed
     */
    void onResponseWritten(boolean closesConnection);
  }

  ResponseWriter(ChannelHandlerContext context, Listener listener) {
    this.context = context;
    this.listener = listener;
  }

  ChannelHandlerContext context() {
    return context;
  }

  /** Prepares for the response to the next request. */
  void prepareNext(HttpMethod method, boolean newKeepAlive) {
    keepAlive = newKeepAlive;
    isHeadRequest = HttpMethod.HEAD.equals(method);
  }

  /** Makes the next response the last one of the connection. */
  void closeAfterResponse() {
    keepAlive = false;
  }

  /** Sends 100 Continue, so that the caller sends the body. */
  void writeContinue() {
    context.writeAndFlush(
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
  }

  /** Writes a response without a body. */
  void writeEmpty(HttpResponseStatus status) {
    writeResponse(status, new DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER);
  }

  @Override
  public void writeResponse(HttpResponseStatus status, HttpHeaders headers, ByteBuf body) {
    if (callerDisconnected) {
      body.release();
      return;
    }
    boolean hasContentLength = isHeadRequest && headers.contains(HttpHeaderNames.CONTENT_LENGTH);
    if (!hasContentLength && canHaveContentLength(status)) {
      headers.set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
    }
    setConnectionHeader(headers);
    context.writeAndFlush(
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, status, body, headers, EmptyHttpHeaders.INSTANCE));
    listener.onResponseWritten(!keepAlive);
  }

  private static boolean canHaveContentLength(HttpResponseStatus status) {
    return status.code() != HttpResponseStatus.NO_CONTENT.code()
        && status.code() != HttpResponseStatus.NOT_MODIFIED.code();
  }

  private void setConnectionHeader(HttpHeaders headers) {
    if (!keepAlive) {
      headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
  }

  @Override
  public void startStream(
      HttpResponseStatus status, HttpHeaders headers, WritabilityListener newListener) {
    if (callerDisconnected) {
      return;
    }
    writabilityListener = newListener;
    if (!headers.contains(HttpHeaderNames.CONTENT_LENGTH)) {
      headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
    }
    setConnectionHeader(headers);
    context.write(new DefaultHttpResponse(HttpVersion.HTTP_1_1, status, headers));
  }

  @Override
  public void writePart(ByteBuf part) {
    if (callerDisconnected) {
      part.release();
      return;
    }
    context.writeAndFlush(new DefaultHttpContent(part));
    onWritabilityChanged();
  }

  @Override
  public void endStream() {
    writabilityListener = null;
    if (!callerDisconnected) {
      context.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
      listener.onResponseWritten(!keepAlive);
    }
  }

  @Override
  public void abort() {
    writabilityListener = null;
    context.close();
  }

  /** Notifies a streaming exchange whether more parts can be written. */
  void onWritabilityChanged() {
    if (writabilityListener != null) {
      writabilityListener.onWritabilityChanged(context.channel().isWritable());
    }
  }

  /** Closes the connection once everything written has been sent. */
  void close() {
    context.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
  }

  /** Discards all further writes, since the caller has disconnected. */
  void onCallerDisconnected() {
    callerDisconnected = true;
    writabilityListener = null;
  }
}
