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

/** Writes the answers of one caller's connection, one after the other. */
final class AnswerWriter implements Responder {
  private final ChannelHandlerContext context;
  private final Listener listener;
  private @Nullable Flow flow;
  private boolean keep = true;
  private boolean bodiless;
  private boolean gone;

  /** Learns that an answer was written. */
  interface Listener {
    /**
     * An answer was written.
     *
     * @param closes whether it told the caller that the connection ends
     */
    void written(boolean closes);
  }

  AnswerWriter(ChannelHandlerContext context, Listener listener) {
    this.context = context;
    this.listener = listener;
  }

  ChannelHandlerContext context() {
    return context;
  }

  /** Prepares for the answer to the next request. */
  void next(HttpMethod method, boolean keepAlive) {
    keep = keepAlive;
    bodiless = HttpMethod.HEAD.equals(method);
  }

  /** Makes the next answer the last one. */
  void closeAfterAnswer() {
    keep = false;
  }

  /** Tells the caller to send its body. */
  void goOn() {
    context.writeAndFlush(
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
  }

  /** Writes an answer without a body. */
  void plain(HttpResponseStatus status) {
    answer(status, new DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER);
  }

  @Override
  public void answer(HttpResponseStatus status, HttpHeaders headers, ByteBuf body) {
    if (gone) {
      body.release();
      return;
    }
    boolean hasLength = bodiless && headers.contains(HttpHeaderNames.CONTENT_LENGTH);
    if (!hasLength && mayHaveLength(status)) {
      headers.set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
    }
    connectionField(headers);
    context.writeAndFlush(
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, status, body, headers, EmptyHttpHeaders.INSTANCE));
    listener.written(!keep);
  }

  private static boolean mayHaveLength(HttpResponseStatus status) {
    return status.code() != HttpResponseStatus.NO_CONTENT.code()
        && status.code() != HttpResponseStatus.NOT_MODIFIED.code();
  }

  private void connectionField(HttpHeaders headers) {
    if (!keep) {
      headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
  }

  @Override
  public void begin(HttpResponseStatus status, HttpHeaders headers, Flow onWritable) {
    if (gone) {
      return;
    }
    flow = onWritable;
    if (!headers.contains(HttpHeaderNames.CONTENT_LENGTH)) {
      headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
    }
    connectionField(headers);
    context.write(new DefaultHttpResponse(HttpVersion.HTTP_1_1, status, headers));
  }

  @Override
  public void part(ByteBuf part) {
    if (gone) {
      part.release();
      return;
    }
    context.writeAndFlush(new DefaultHttpContent(part));
    writabilityChanged();
  }

  @Override
  public void end() {
    flow = null;
    if (!gone) {
      context.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
      listener.written(!keep);
    }
  }

  @Override
  public void abort() {
    flow = null;
    context.close();
  }

  /** Tells a streaming exchange whether the caller takes more. */
  void writabilityChanged() {
    if (flow != null) {
      flow.writable(context.channel().isWritable());
    }
  }

  /** Closes the connection after what was written. */
  void close() {
    context.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
  }

  /** The caller has left. */
  void gone() {
    gone = true;
    flow = null;
  }
}
