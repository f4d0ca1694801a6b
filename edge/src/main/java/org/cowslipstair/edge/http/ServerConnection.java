package org.cowslipstair.edge.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * A connection to a server that carries one request at a time. An answer that belongs to another
 * request, as its request id tells, is skipped. A connection that has carried anything unexpected
 * is not used again. Lives on its event loop.
 */
public final class ServerConnection extends ChannelInboundHandlerAdapter {
  private static final int MS_PER_SECOND = 1_000;
  private static final String KEEP_ALIVE_FIELD = "Keep-Alive";

  private final String requestIdHeader;
  private final Runnable onClosed;
  private @Nullable Channel channel;
  private @Nullable AnswerListener listener;
  private Optional<String> expectedId = Optional.empty();
  private @Nullable ChannelFuture written;
  private boolean headSeen;
  private boolean framed;
  private boolean skipping;
  private boolean tainted;
  private boolean lastAnswerCloses;
  private boolean closed;
  private long keepAliveMs = Long.MAX_VALUE;
  private long idleSinceNs;

  /**
   * Creates a handler for one channel.
   *
   * @param requestIdHeader header by which answers name their request
   * @param onClosed called once when the connection is gone
   */
  public ServerConnection(String requestIdHeader, Runnable onClosed) {
    this.requestIdHeader = requestIdHeader;
    this.onClosed = onClosed;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext context) {
    channel = context.channel();
  }

  /** Returns whether another request may be sent. */
  public boolean isReusable() {
    return isIdle()
        && !tainted
        && !lastAnswerCloses
        && (written == null || written.isDone())
        && channel != null
        && channel.isActive();
  }

  /** Returns whether no request is in progress. */
  public boolean isIdle() {
    return listener == null && !closed;
  }

  /** Returns the time that the server keeps an idle connection, in milliseconds. */
  public long keepAliveMs() {
    return keepAliveMs;
  }

  /** Returns the monotonic time since which the connection is idle. */
  public long idleSinceNs() {
    return idleSinceNs;
  }

  /** Notes the monotonic time since which the connection is idle. */
  public void idleSince(long nowNs) {
    idleSinceNs = nowNs;
  }

  /**
   * Sends a request. The head tells how the body is framed.
   *
   * @param body body, which this connection releases
   * @param requestId id that the answer must carry; empty if the answer must carry none
   */
  public void send(
      HttpRequest head, ByteBuf body, Optional<String> requestId, AnswerListener newListener) {
    if (listener != null || channel == null) {
      body.release();
      throw new IllegalStateException("connection carries a request already");
    }
    listener = newListener;
    expectedId = requestId;
    headSeen = false;
    skipping = false;
    channel.write(head, channel.voidPromise());
    LastHttpContent last =
        body.isReadable() ? new DefaultLastHttpContent(body) : LastHttpContent.EMPTY_LAST_CONTENT;
    if (!body.isReadable()) {
      body.release();
    }
    written = channel.writeAndFlush(last);
  }

  /** Pauses or resumes reading, so that a slow caller slows its server down. */
  public void reading(boolean isReading) {
    if (channel != null) {
      channel.config().setAutoRead(isReading);
    }
  }

  /** Closes the connection; a listener hears nothing more. */
  public void cancel() {
    listener = null;
    close();
  }

  /** Closes the connection. */
  public void close() {
    closed = true;
    if (channel != null) {
      channel.close();
    }
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    try {
      if (message instanceof HttpObject object) {
        received(object);
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  private void received(HttpObject object) {
    if (object.decoderResult().isFailure()) {
      fail(new ServerBytesException.Malformed(String.valueOf(object.decoderResult().cause())));
      return;
    }
    if (listener == null) {
      close();
      return;
    }
    if (object instanceof HttpResponse head) {
      headArrived(head);
    }
    if (object instanceof HttpContent content) {
      contentArrived(content);
    }
  }

  private void headArrived(HttpResponse head) {
    Optional<String> id = Optional.ofNullable(head.headers().get(requestIdHeader));
    boolean informational = head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
    skipping = informational || !id.equals(expectedId);
    tainted |= skipping && !informational;
    if (skipping) {
      return;
    }
    headSeen = true;
    framed = HttpUtil.isContentLengthSet(head) || HttpUtil.isTransferEncodingChunked(head);
    lastAnswerCloses = !HttpUtil.isKeepAlive(head) || !framed;
    keepAliveMs = keepAliveOf(head).orElse(keepAliveMs);
    if (listener != null) {
      listener.head(head);
    }
  }

  private void contentArrived(HttpContent content) {
    boolean last = content instanceof LastHttpContent;
    if (skipping) {
      skipping = !last;
      return;
    }
    AnswerListener current = listener;
    if (!headSeen || current == null) {
      return;
    }
    if (content.content().isReadable()) {
      current.body(content.content());
    }
    if (last && listener == current) {
      finish(current);
    }
  }

  private void finish(AnswerListener current) {
    listener = null;
    boolean bodyUnsent = written != null && !written.isDone();
    if (bodyUnsent || lastAnswerCloses) {
      close();
    }
    current.end();
  }

  private static Optional<Long> keepAliveOf(HttpResponse head) {
    String value = head.headers().get(KEEP_ALIVE_FIELD);
    if (value == null) {
      return Optional.empty();
    }
    for (String part : value.split(",")) {
      String text = part.trim();
      if (text.startsWith("timeout=")) {
        try {
          return Optional.of(Long.parseLong(text.substring("timeout=".length())) * MS_PER_SECOND);
        } catch (NumberFormatException ignored) {
          return Optional.empty();
        }
      }
    }
    return Optional.empty();
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    closed = true;
    fail(new ServerBytesException.CutShort("closed"));
    onClosed.run();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    fail(new ServerBytesException.CutShort(String.valueOf(cause.getMessage())));
  }

  private void fail(ServerBytesException cause) {
    AnswerListener current = listener;
    listener = null;
    close();
    if (current != null) {
      current.failed(cause);
    }
  }

  /** Returns an empty body. */
  public static ByteBuf noBody() {
    return Unpooled.EMPTY_BUFFER;
  }
}
