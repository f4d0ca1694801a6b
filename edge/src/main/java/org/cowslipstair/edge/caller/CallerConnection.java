package org.cowslipstair.edge.caller;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.cowslipstair.edge.exchange.Refusal;
import org.cowslipstair.logic.stop.PlannedStop;
import org.cowslipstair.model.call.NotRunReason;
import org.cowslipstair.model.traffic.CallerBounds;
import org.jspecify.annotations.Nullable;

/**
 * A connection of a caller. Reads requests and has them forwarded; the responses go out in the
 * order of the requests. A few repeatable requests are forwarded side by side; every other request
 * waits until all earlier ones have their responses. Used on its event loop only.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter {
  private static final long NS_PER_MS = 1_000_000L;

  /**
   * Maximum bytes beyond a head in which the decoder finds no message; it skips line breaks before
   * a request, and limits all else itself.
   */
  private static final long MAX_SKIPPED_BYTES = 256 * 1024;

  /** Maximum time to read a request, whatever time the caller says that it waits. */
  private static final long MAX_READ_MS = 60_000;

  private final CallerContext callerContext;
  private final MessageQueue queuedMessages = new MessageQueue();
  private final ActiveRequests activeRequests;
  private State state = State.IDLE;
  private @Nullable ResponseQueue responses;
  private @Nullable RequestAssembler assembler;
  private @Nullable ScheduledFuture<?> requestTimer;
  private @Nullable IdleTimer idleTimer;
  private long undecodedBytes;
  private boolean bytesReceived;

  private enum State {
    /** Waiting for a request. */
    IDLE,
    /** Reading the body of a request. */
    READING,
    /** The last request was read: what follows is discarded. */
    DISCARDING,
    /** The connection is closed or closing. */
    CLOSED
  }

  CallerConnection(CallerContext callerContext) {
    this.callerContext = callerContext;
    this.activeRequests = new ActiveRequests(callerContext.memory());
  }

  @Override
  public void channelActive(ChannelHandlerContext context) {
    ResponseQueue newResponses = new ResponseQueue(context, this::onResponseWritten);
    responses = newResponses;
    idleTimer = new IdleTimer(callerContext, newResponses, this::isIdle, this::onIdleTimeout);
    callerContext.connectionOpened(this);
    idleTimer.startIfIdle();
  }

  /** Closes the connection if it is waiting for a request. */
  void closeIfIdle() {
    if (isIdle() && !bytesReceived) {
      close();
    }
  }

  private boolean isIdle() {
    return state == State.IDLE
        && responses().isEmpty()
        && responses().isSent()
        && queuedMessages.isEmpty();
  }

  /**
   * Makes the responses to the requests that were read the last ones; if there are none, the
   * response to the next request. They are written before the stop ends.
   */
  void onStopBegun(PlannedStop stop) {
    activeRequests.onStopBegun(stop);
    if (!responses().isEmpty()) {
      responses().closeAfterLast();
    }
  }

  /**
   * Records that bytes arrived, which may not be a complete message yet. Returns false if the
   * caller has sent too many that are not part of a message, or behind the last request.
   */
  boolean acceptsBytes(int bytes) {
    bytesReceived = true;
    undecodedBytes += bytes;
    boolean isDiscarding = state == State.DISCARDING || state == State.CLOSED;
    CallerBounds bounds = callerContext.bounds();
    long maxUndecodedBytes =
        isDiscarding ? bounds.maxBodyBytes() : bounds.maxHeadBytes() + MAX_SKIPPED_BYTES;
    return undecodedBytes <= maxUndecodedBytes;
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext context) {
    boolean hasPartOfHead = state == State.IDLE && bytesReceived && queuedMessages.isEmpty();
    if (hasPartOfHead && requestTimer == null) {
      startTimer(this::onHeadTimeout, callerContext.bounds().headTimeoutMs());
    }
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (!(message instanceof HttpObject object)
        || state == State.DISCARDING
        || state == State.CLOSED) {
      ReferenceCountUtil.release(message);
      return;
    }
    undecodedBytes = 0;
    if (queuedMessages.isEmpty() && !mustWait(object)) {
      handle(object, callerContext.nowNs());
      return;
    }
    queuedMessages.add(object, callerContext.nowNs());
    if (queuedMessages.isFull()) {
      context.channel().config().setAutoRead(false);
    }
  }

  private boolean mustWait(HttpObject object) {
    if (!(object instanceof HttpRequest request)
        || state != State.IDLE
        || responses().isClosing()) {
      return false;
    }
    boolean isCallerReading = responses().context().channel().isWritable();
    return !isCallerReading || !responses().isEmpty() && !canForwardBesideOthers(request);
  }

  private boolean canForwardBesideOthers(HttpRequest request) {
    return activeRequests.canAddRepeatable()
        && request.decoderResult().isSuccess()
        && !HttpUtil.is100ContinueExpected(request)
        && callerContext.isRepeatable(request);
  }

  private void handle(HttpObject object, long arrivedNs) {
    try {
      if (object instanceof HttpRequest request && state == State.IDLE) {
        onRequestHead(request, arrivedNs);
      }
      if (object instanceof HttpContent content) {
        onRequestContent(content);
      }
    } finally {
      ReferenceCountUtil.release(object);
    }
  }

  private void onRequestHead(HttpRequest request, long arrivedNs) {
    stopTimer();
    if (responses().isClosing()) {
      state = State.DISCARDING;
      return;
    }
    state = State.READING;
    QueuedResponse response = responses().add(request.method());
    RequestAssembler newAssembler =
        new RequestAssembler(callerContext, request, response, arrivedNs);
    assembler = newAssembler;
    if (!HttpUtil.isKeepAlive(request) || callerContext.isStopping()) {
      responses().closeAfterLast();
    }
    CallerBounds bounds = callerContext.bounds();
    Optional<HttpResponseStatus> rejectionStatus =
        RequestValidator.rejectionStatus(request, bounds);
    if (rejectionStatus.isPresent()) {
      rejectRequest(response, rejectionStatus.get());
      return;
    }
    if (HttpUtil.is100ContinueExpected(request)) {
      writeContinue();
    }
    long timeoutMs =
        Math.min(MAX_READ_MS, newAssembler.deadlineMs().orElse(bounds.idleTimeoutMs()));
    startTimer(() -> rejectRequest(response, HttpResponseStatus.REQUEST_TIMEOUT), timeoutMs);
  }

  private void writeContinue() {
    responses()
        .context()
        .writeAndFlush(
            new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
  }

  private void onRequestContent(HttpContent content) {
    boolean isLast = content instanceof LastHttpContent;
    bytesReceived &= !isLast;
    RequestAssembler current = assembler;
    if (current == null) {
      return;
    }
    switch (current.add(content)) {
      case RequestAssembler.Progress.Incomplete _ -> {}
      case RequestAssembler.Progress.Complete complete -> onRequestComplete(current, complete);
      case RequestAssembler.Progress.Rejected(var status) ->
          rejectRequest(current.response(), status);
      case RequestAssembler.Progress.OutOfMemory _ -> refuseForMemoryLimit(current);
    }
  }

  private void onRequestComplete(
      RequestAssembler current, RequestAssembler.Progress.Complete complete) {
    stopTimer();
    assembler = null;
    state = State.IDLE;
    ActiveRequests.ActiveRequest request =
        activeRequests.add(current.isRepeatable(), complete.reservedBytes());
    callerContext.createExchange(complete.message(), current.response()).ifPresent(request::start);
  }

  private void onHeadTimeout() {
    rejectRequest(responses().add(HttpMethod.GET), HttpResponseStatus.REQUEST_TIMEOUT);
  }

  private void rejectRequest(QueuedResponse rejected, HttpResponseStatus status) {
    callerContext.recordRejectedRequest(status);
    startDiscarding();
    activeRequests.addRejected();
    rejected.writeEmpty(status);
  }

  private void refuseForMemoryLimit(RequestAssembler current) {
    startDiscarding();
    activeRequests.addRejected();
    callerContext.refuse(
        current.response(),
        new Refusal.NotRun(NotRunReason.NO_FREE_SLOT),
        current.requestId(),
        callerContext.bounds().idleTimeoutMs() * NS_PER_MS);
  }

  private void startDiscarding() {
    stopTimer();
    discardAssembler();
    state = State.DISCARDING;
    responses().closeAfterLast();
  }

  private void onResponseWritten() {
    activeRequests.removeFirst();
    if (state == State.CLOSED) {
      return;
    }
    if (responses().isClosing() && responses().isEmpty()) {
      closeGracefully();
      return;
    }
    handleQueuedMessages();
    responses().whenSent(idleTimer()::startIfIdle);
  }

  private void handleQueuedMessages() {
    MessageQueue.Entry next = queuedMessages.peek();
    while (next != null && state != State.CLOSED && !mustWait(next.message())) {
      queuedMessages.remove();
      handle(next.message(), next.arrivedNs());
      next = queuedMessages.peek();
    }
    ChannelHandlerContext context = responses().context();
    if (!queuedMessages.isFull() && !context.channel().config().isAutoRead()) {
      context.channel().config().setAutoRead(true);
    }
  }

  private void closeGracefully() {
    state = State.CLOSED;
    stopTimer();
    queuedMessages.clear();
    LingeringClose.start(responses().context(), () -> callerContext.connectionClosed(this));
  }

  private void close() {
    state = State.CLOSED;
    stopTimer();
    queuedMessages.clear();
    responses().context().close();
  }

  private void onIdleTimeout() {
    if (isIdle()) {
      closeIfIdle();
    } else {
      close();
    }
  }

  private void startTimer(Runnable action, long delayMs) {
    stopTimer();
    requestTimer = schedule(action, Math.max(1, delayMs));
  }

  private ScheduledFuture<?> schedule(Runnable action, long delayMs) {
    return responses().context().executor().schedule(action, delayMs, TimeUnit.MILLISECONDS);
  }

  private void stopTimer() {
    if (requestTimer != null) {
      requestTimer.cancel(false);
      requestTimer = null;
    }
  }

  private void discardAssembler() {
    if (assembler != null) {
      assembler.discard();
      assembler = null;
    }
  }

  private IdleTimer idleTimer() {
    if (idleTimer == null) {
      throw new IllegalStateException("connection is not open yet");
    }
    return idleTimer;
  }

  private ResponseQueue responses() {
    if (responses == null) {
      throw new IllegalStateException("connection is not open yet");
    }
    return responses;
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext context) {
    responses().onWritabilityChanged();
    if (state != State.CLOSED) {
      handleQueuedMessages();
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    state = State.CLOSED;
    if (idleTimer != null) {
      idleTimer.cancel();
    }
    stopTimer();
    discardAssembler();
    queuedMessages.clear();
    if (responses != null) {
      responses.onCallerDisconnected();
    }
    activeRequests.cancelAll();
    callerContext.connectionClosed(this);
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    context.close();
  }
}
