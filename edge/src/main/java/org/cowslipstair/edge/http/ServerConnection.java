package org.cowslipstair.edge.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * A connection to a server that carries one request at a time. Skips a response whose request id is
 * not that of the current request. A connection on which anything unexpected arrived is not reused.
 * Used on its event loop only.
 */
public final class ServerConnection extends ChannelInboundHandlerAdapter {
  private static final int MS_PER_SECOND = 1_000;
  private static final String KEEP_ALIVE_HEADER = "Keep-Alive";

  /** Maximum number of refused requests that are remembered; then the connection is not reused. */
  private static final int MAX_REFUSED_REQUESTS = 64;

  /** Maximum number of responses to skip while a request waits for its own. */
  private static final int MAX_SKIPPED_RESPONSES = 64;

  /** Maximum bytes of the bodies of skipped responses. */
  private static final long MAX_SKIPPED_BODY_BYTES = 1 << 20;

  /** Maximum length of a request body that a server is taken to have read when it responds. */
  private static final int MAX_SOCKET_BYTES = 64 * 1024;

  /** Time that as many bytes, written to the socket, take on a link of 10 Mbit/s. */
  private static final long SOCKET_DRAIN_MS = 50;

  private final String requestIdHeader;
  private final Runnable onClosed;
  private Consumer<HttpResponse> headObserver = _ -> {};
  private @Nullable Channel channel;
  private @Nullable ResponseListener listener;
  private final Set<String> refusedRequestIds = new HashSet<>();
  private Optional<String> expectedRequestId = Optional.empty();
  private @Nullable ChannelFuture requestWrite;
  private boolean headReceived;
  private boolean hasFraming;
  private boolean mayHaveReadRequest;
  private boolean isEarlyResponse;
  private boolean skippingResponse;
  private int skippedResponses;
  private long skippedBodyBytes;
  private boolean hasUnexpectedResponse;
  private boolean closesAfterResponse;
  private boolean closed;
  private long keepAliveMs = Long.MAX_VALUE;
  private long idleSinceNs;

  /**
   * Creates the handler of one channel.
   *
   * @param requestIdHeader response header with the id of the request
   * @param onClosed called once when the connection is closed
   */
  public ServerConnection(String requestIdHeader, Runnable onClosed) {
    this.requestIdHeader = requestIdHeader;
    this.onClosed = onClosed;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext context) {
    channel = context.channel();
  }

  /**
   * Sets what receives the head of every response, also of those that are skipped or come when no
   * request waits.
   */
  public void observeHeads(Consumer<HttpResponse> observer) {
    headObserver = observer;
  }

  /** Returns whether another request may be sent. */
  public boolean isReusable() {
    return isIdle()
        && !hasUnexpectedResponse
        && !closesAfterResponse
        && refusedRequestIds.size() < MAX_REFUSED_REQUESTS
        && (requestWrite == null || requestWrite.isDone())
        && isOpen();
  }

  /** Returns whether no request is in progress. */
  public boolean isIdle() {
    return listener == null && !closed;
  }

  /** Returns how long the server keeps an idle connection open, in milliseconds. */
  public long keepAliveMs() {
    return keepAliveMs;
  }

  /** Returns the monotonic time at which the connection became idle. */
  public long idleSinceNs() {
    return idleSinceNs;
  }

  /** Records the monotonic time at which the connection became idle. */
  public void markIdle(long nowNs) {
    idleSinceNs = nowNs;
  }

  /**
   * Sends a request. The head determines the framing of the body.
   *
   * @param body body, which this connection releases
   * @param requestId id that the response must have; if empty, the response must have none
   */
  public void send(
      HttpRequest head, ByteBuf body, Optional<String> requestId, ResponseListener newListener) {
    if (listener != null || channel == null) {
      body.release();
      throw new IllegalStateException("connection already carries a request");
    }
    listener = newListener;
    expectedRequestId = requestId;
    mayHaveReadRequest = body.readableBytes() <= MAX_SOCKET_BYTES;
    headReceived = false;
    skippingResponse = false;
    skippedResponses = 0;
    skippedBodyBytes = 0;
    channel.pipeline().get(ServerResponseDecoder.class).setMethod(head.method());
    channel.write(head, channel.voidPromise());
    LastHttpContent last =
        body.isReadable() ? new DefaultLastHttpContent(body) : LastHttpContent.EMPTY_LAST_CONTENT;
    if (!body.isReadable()) {
      body.release();
    }
    ChannelFuture write = channel.writeAndFlush(last);
    requestWrite = write;
    if (!mayHaveReadRequest) {
      write.addListener(
          _ ->
              write
                  .channel()
                  .eventLoop()
                  .schedule(
                      () -> mayHaveReadRequest |= write == requestWrite,
                      SOCKET_DRAIN_MS,
                      TimeUnit.MILLISECONDS));
    }
  }

  /**
   * Records that the last response says that the server did not run its request. A server can write
   * an earlier refusal once more, so it proves that only if no earlier refusal can look the same.
   *
   * @return whether it is a proof; if not, the connection is closed
   */
  public boolean recordRefusal() {
    boolean isProof = expectedRequestId.filter(refusedRequestIds::add).isPresent();
    if (!isProof) {
      close();
    }
    return isProof;
  }

  /** Pauses or resumes reading, to apply the backpressure of a slow caller to its server. */
  public void setAutoRead(boolean isAutoRead) {
    if (channel != null) {
      channel.config().setAutoRead(isAutoRead);
    }
  }

  /** Closes the connection; the listener is not called any more. */
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
        onMessage(object);
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  private void onMessage(HttpObject object) {
    if (object.decoderResult().isFailure()) {
      fail(new ServerBytesException.Malformed(String.valueOf(object.decoderResult().cause())));
      return;
    }
    if (object instanceof HttpResponse head) {
      headObserver.accept(head);
    }
    if (listener == null) {
      close();
      return;
    }
    if (object instanceof HttpResponse head) {
      if (head.status().codeClass() == HttpStatusClass.UNKNOWN) {
        fail(new ServerBytesException.Malformed("status " + head.status().code()));
        return;
      }
      onResponseHead(head);
    }
    if (object instanceof HttpContent content) {
      onResponseContent(content);
    }
  }

  private void onResponseHead(HttpResponse head) {
    Optional<String> id = Optional.ofNullable(head.headers().get(requestIdHeader));
    boolean isInformational = head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
    skippingResponse = isInformational || !id.equals(expectedRequestId);
    hasUnexpectedResponse |= skippingResponse && !isInformational;
    if (skippingResponse) {
      skippedResponses++;
      failIfTooMuchIsSkipped();
      return;
    }
    headReceived = true;
    isEarlyResponse = !mayHaveReadRequest;
    hasFraming = HttpUtil.isContentLengthSet(head) || HttpUtil.isTransferEncodingChunked(head);
    closesAfterResponse = !HttpUtil.isKeepAlive(head) || !hasFraming;
    keepAliveMs = parseKeepAliveMs(head).orElse(keepAliveMs);
    if (listener != null) {
      listener.onHead(head);
    }
  }

  private void onResponseContent(HttpContent content) {
    boolean last = content instanceof LastHttpContent;
    if (skippingResponse) {
      skippingResponse = !last;
      skippedBodyBytes += content.content().readableBytes();
      failIfTooMuchIsSkipped();
      return;
    }
    ResponseListener currentListener = listener;
    if (!headReceived || currentListener == null) {
      return;
    }
    if (content.content().isReadable()) {
      currentListener.onBodyPart(content.content());
    }
    if (!last || listener != currentListener) {
      return;
    }
    if (hasFraming || isOpen() && !isEarlyResponse) {
      finish(currentListener);
    } else {
      // A server that closes a connection with bytes of the request unread resets it, which looks
      // like the end of an early response if the end of its output came first.
      fail(new ServerBytesException.CutShort("end of a response without a length"));
    }
  }

  /**
   * Returns whether the connection has not ended. It stays open when the server closes its output,
   * and has ended when it was reset, whether a read or a write noticed that.
   */
  private boolean isOpen() {
    return channel != null && channel.isActive();
  }

  /** A server that sends such bytes without end would occupy the event loop. */
  private void failIfTooMuchIsSkipped() {
    if (skippedResponses > MAX_SKIPPED_RESPONSES || skippedBodyBytes > MAX_SKIPPED_BODY_BYTES) {
      fail(new ServerBytesException.Malformed("too many bytes belong to no request"));
    }
  }

  private void finish(ResponseListener currentListener) {
    listener = null;
    setAutoRead(true);
    boolean isRequestUnsent = requestWrite != null && !requestWrite.isDone();
    if (isRequestUnsent || closesAfterResponse) {
      close();
    }
    currentListener.onComplete();
  }

  private static Optional<Long> parseKeepAliveMs(HttpResponse head) {
    String value = head.headers().get(KEEP_ALIVE_HEADER);
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
  public void userEventTriggered(ChannelHandlerContext context, Object event) {
    if (event instanceof ChannelInputShutdownEvent) {
      fail(new ServerBytesException.CutShort("closed"));
    }
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
    ResponseListener currentListener = listener;
    listener = null;
    close();
    if (currentListener != null) {
      currentListener.onFailure(cause);
    }
  }

  /** Returns an empty body. */
  public static ByteBuf emptyBody() {
    return Unpooled.EMPTY_BUFFER;
  }
}
