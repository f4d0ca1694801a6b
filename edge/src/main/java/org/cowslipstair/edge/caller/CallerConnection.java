package org.cowslipstair.edge.caller;

import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.cowslipstair.edge.exchange.Exchange;
import org.cowslipstair.edge.exchange.Refusal;
import org.cowslipstair.edge.exchange.RequestMessage;
import org.cowslipstair.model.call.NotRunReason;
import org.cowslipstair.model.traffic.CallerBounds;
import org.jspecify.annotations.Nullable;

/**
 * A connection of a caller: reads one complete request at a time and has it forwarded. Messages
 * that arrive before the response is written are queued. Used on its event loop only.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter {
  private static final long NS_PER_MS = 1_000_000L;

  /** Messages that may be queued behind a request before reading from the connection stops. */
  private static final int MAX_QUEUED_MESSAGES = 64;

  /** Maximum time for which the rest of a refused request is read and discarded. */
  private static final long DISCARD_TIMEOUT_MS = 2_000;

  private final CallerContext callerContext;
  private final Deque<HttpObject> queuedMessages = new ArrayDeque<>();
  private final CompositeByteBuf noBody = Unpooled.compositeBuffer();
  private State state = State.IDLE;
  private @Nullable ResponseWriter writer;
  private @Nullable HttpRequest head;
  private CompositeByteBuf body = noBody;
  private @Nullable Exchange exchange;
  private @Nullable ScheduledFuture<?> requestTimer;
  private @Nullable ScheduledFuture<?> idleTimer;
  private long headArrivedNs;
  private long idleSinceNs;
  private long reservedBytes;
  private boolean bytesReceived;

  private enum State {
    /** Waiting for a request. */
    IDLE,
    /** Reading the body of a request. */
    READING,
    /** A request is being forwarded. */
    BUSY,
    /** The request is refused: the rest of it is discarded, then the connection is closed. */
    DISCARDING,
    /** The connection is closed or closing. */
    CLOSED
  }

  CallerConnection(CallerContext callerContext) {
    this.callerContext = callerContext;
  }

  @Override
  public void channelActive(ChannelHandlerContext context) {
    writer = new ResponseWriter(context, this::onResponseWritten);
    callerContext.connectionOpened(this);
    startIdle();
  }

  /** Closes the connection if it is waiting for a request. */
  void closeIfIdle() {
    if (state == State.IDLE && !bytesReceived) {
      state = State.CLOSED;
      writer().close();
    }
  }

  /** Makes the response to the request in progress the last one. */
  void closeAfterResponse() {
    writer().closeAfterResponse();
  }

  /** Records that bytes arrived, which may not be a complete message yet. */
  void onBytesReceived() {
    bytesReceived = true;
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext context) {
    if (state == State.IDLE && bytesReceived && requestTimer == null) {
      startTimer(this::onHeadTimeout, callerContext.bounds().headTimeoutMs());
    }
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (!(message instanceof HttpObject object) || state == State.CLOSED) {
      ReferenceCountUtil.release(message);
      return;
    }
    if (state != State.BUSY) {
      handle(object);
      return;
    }
    queuedMessages.add(object);
    if (queuedMessages.size() > MAX_QUEUED_MESSAGES) {
      context.channel().config().setAutoRead(false);
    }
  }

  private void handle(HttpObject object) {
    try {
      if (object instanceof HttpRequest request && state == State.IDLE) {
        onRequestHead(request);
      }
      if (object instanceof HttpContent content) {
        onRequestContent(content);
      }
    } finally {
      ReferenceCountUtil.release(object);
    }
  }

  private void onRequestHead(HttpRequest request) {
    stopTimer();
    headArrivedNs = callerContext.nowNs();
    state = State.READING;
    head = request;
    body = Unpooled.compositeBuffer(Integer.MAX_VALUE);
    writer()
        .prepareNext(
            request.method(), HttpUtil.isKeepAlive(request) && !callerContext.isStopping());
    CallerBounds bounds = callerContext.bounds();
    Optional<HttpResponseStatus> rejectionStatus =
        RequestValidator.rejectionStatus(request, bounds);
    if (rejectionStatus.isPresent()) {
      rejectRequest(rejectionStatus.get());
      return;
    }
    if (HttpUtil.is100ContinueExpected(request)) {
      writer().writeContinue();
    }
    long timeoutMs = deadlineMs(request).orElse(bounds.idleTimeoutMs());
    startTimer(() -> rejectRequest(HttpResponseStatus.REQUEST_TIMEOUT), timeoutMs);
  }

  private OptionalLong deadlineMs(HttpRequest request) {
    return RequestValidator.parseMillis(request.headers(), callerContext.headers().deadlineMs());
  }

  private void onRequestContent(HttpContent content) {
    boolean isLast = content instanceof LastHttpContent;
    bytesReceived &= !isLast;
    if (state == State.DISCARDING && isLast) {
      close();
    }
    if (state != State.READING) {
      return;
    }
    if (content.decoderResult().isFailure()) {
      rejectRequest(HttpResponseStatus.BAD_REQUEST);
      return;
    }
    int bytes = content.content().readableBytes();
    if (body.readableBytes() + (long) bytes > callerContext.bounds().maxBodyBytes()) {
      rejectRequest(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
      return;
    }
    if (!callerContext.memory().tryReserve(bytes)) {
      refuseForMemoryLimit();
      return;
    }
    reservedBytes += bytes;
    if (bytes > 0) {
      body.addComponent(true, content.content().retain());
    }
    if (isLast) {
      onRequestComplete();
    }
  }

  private void onRequestComplete() {
    HttpRequest request = head;
    if (request == null) {
      return;
    }
    stopTimer();
    head = null;
    CompositeByteBuf completeBody = body;
    body = noBody;
    state = State.BUSY;
    OptionalLong deadlineMs = deadlineMs(request);
    OptionalLong deadlineNs =
        deadlineMs.isPresent()
            ? OptionalLong.of(headArrivedNs + deadlineMs.getAsLong() * NS_PER_MS)
            : OptionalLong.empty();
    boolean hasBody =
        HttpUtil.isContentLengthSet(request) || HttpUtil.isTransferEncodingChunked(request);
    RequestMessage message =
        new RequestMessage(
            request.method(),
            request.uri(),
            request.headers(),
            completeBody,
            hasBody,
            requestId(request),
            deadlineNs,
            headArrivedNs);
    Optional<Exchange> newExchange = callerContext.createExchange(message, writer());
    exchange = newExchange.orElse(null);
    newExchange.ifPresent(Exchange::start);
  }

  private Optional<String> requestId(HttpRequest request) {
    return Optional.ofNullable(request.headers().get(callerContext.headers().requestId()));
  }

  private void onHeadTimeout() {
    writer().prepareNext(HttpMethod.GET, false);
    rejectRequest(HttpResponseStatus.REQUEST_TIMEOUT);
  }

  private void rejectRequest(HttpResponseStatus status) {
    callerContext.recordRejectedRequest(status);
    startDiscarding();
    writer().writeEmpty(status);
  }

  private void refuseForMemoryLimit() {
    Optional<String> id = head == null ? Optional.empty() : requestId(head);
    startDiscarding();
    callerContext.refuse(
        writer(),
        new Refusal.NotRun(NotRunReason.NO_FREE_SLOT),
        id,
        callerContext.bounds().idleTimeoutMs() * NS_PER_MS);
  }

  private void startDiscarding() {
    releaseBody();
    state = State.DISCARDING;
    writer().closeAfterResponse();
    startTimer(this::close, DISCARD_TIMEOUT_MS);
  }

  private void onResponseWritten(boolean closesConnection) {
    exchange = null;
    releaseMemory();
    if (state == State.DISCARDING || state == State.CLOSED) {
      return;
    }
    if (closesConnection) {
      close();
      return;
    }
    state = State.IDLE;
    while (state != State.BUSY && state != State.CLOSED && !queuedMessages.isEmpty()) {
      handle(queuedMessages.remove());
    }
    ChannelHandlerContext context = writer().context();
    if (queuedMessages.size() <= MAX_QUEUED_MESSAGES && !context.channel().config().isAutoRead()) {
      context.channel().config().setAutoRead(true);
    }
    if (state == State.IDLE) {
      startIdle();
    }
  }

  private void close() {
    state = State.CLOSED;
    stopTimer();
    releaseQueuedMessages();
    writer().close();
  }

  private void startIdle() {
    idleSinceNs = callerContext.nowNs();
    if (idleTimer == null) {
      scheduleIdleTimer(callerContext.bounds().idleTimeoutMs());
    }
  }

  private void scheduleIdleTimer(long delayMs) {
    idleTimer = schedule(this::onIdleTimer, Math.max(1, delayMs));
  }

  private void onIdleTimer() {
    idleTimer = null;
    if (state == State.CLOSED) {
      return;
    }
    long timeoutMs = callerContext.bounds().idleTimeoutMs();
    long idleMs = state == State.IDLE ? (callerContext.nowNs() - idleSinceNs) / NS_PER_MS : 0;
    if (idleMs >= timeoutMs) {
      closeIfIdle();
    } else {
      scheduleIdleTimer(timeoutMs - idleMs);
    }
  }

  private void startTimer(Runnable action, long delayMs) {
    stopTimer();
    requestTimer = schedule(action, Math.max(1, delayMs));
  }

  private ScheduledFuture<?> schedule(Runnable action, long delayMs) {
    return writer().context().executor().schedule(action, delayMs, TimeUnit.MILLISECONDS);
  }

  private void stopTimer() {
    if (requestTimer != null) {
      requestTimer.cancel(false);
      requestTimer = null;
    }
  }

  private void releaseBody() {
    stopTimer();
    head = null;
    if (body != noBody) {
      body.release();
      body = noBody;
    }
    releaseMemory();
  }

  private void releaseMemory() {
    callerContext.memory().release(reservedBytes);
    reservedBytes = 0;
  }

  private void releaseQueuedMessages() {
    queuedMessages.forEach(ReferenceCountUtil::release);
    queuedMessages.clear();
  }

  private ResponseWriter writer() {
    if (writer == null) {
      throw new IllegalStateException("connection is not open yet");
    }
    return writer;
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext context) {
    writer().onWritabilityChanged();
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    state = State.CLOSED;
    if (idleTimer != null) {
      idleTimer.cancel(false);
    }
    releaseBody();
    releaseQueuedMessages();
    Exchange current = exchange;
    exchange = null;
    if (writer != null) {
      writer.onCallerDisconnected();
    }
    if (current != null) {
      current.onCallerDisconnected();
    }
    callerContext.connectionClosed(this);
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    context.close();
  }
}
