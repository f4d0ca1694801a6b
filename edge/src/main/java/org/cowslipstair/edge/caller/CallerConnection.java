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
 * A caller's connection: reads one request at a time, whole, and has it carried out. What arrives
 * before the answer waits. Lives on its event loop.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter {
  private static final long NS_PER_MS = 1_000_000L;

  /** Messages that may wait behind a request before the connection is not read any more. */
  private static final int MAX_QUEUED = 64;

  /** Longest time that the rest of a refused request is read and dropped. */
  private static final long DISCARD_MS = 2_000;

  private final CallerContext shared;
  private final Deque<HttpObject> queue = new ArrayDeque<>();
  private final CompositeByteBuf noBody = Unpooled.compositeBuffer();
  private State state = State.IDLE;
  private @Nullable AnswerWriter writer;
  private @Nullable HttpRequest head;
  private CompositeByteBuf body = noBody;
  private @Nullable Exchange exchange;
  private @Nullable ScheduledFuture<?> requestTimer;
  private @Nullable ScheduledFuture<?> idleTimer;
  private long headArrivedNs;
  private long idleSinceNs;
  private long reservedBytes;
  private boolean bytesArrived;

  private enum State {
    /** Waits for a request. */
    IDLE,
    /** Reads the body of a request. */
    READING,
    /** A request is being carried out. */
    BUSY,
    /** The request is refused; drops the rest of it, then closes. */
    DISCARDING,
    /** The connection is closed or about to be. */
    CLOSED
  }

  CallerConnection(CallerContext shared) {
    this.shared = shared;
  }

  @Override
  public void channelActive(ChannelHandlerContext context) {
    writer = new AnswerWriter(context, this::answerWritten);
    shared.opened(this);
    idle();
  }

  /** Closes the connection if it waits for a request. */
  void closeIfIdle() {
    if (state == State.IDLE && !bytesArrived) {
      state = State.CLOSED;
      writer().close();
    }
  }

  /** Makes the answer to the request in progress the last one. */
  void closeAfterAnswer() {
    writer().closeAfterAnswer();
  }

  /** Notes that bytes have arrived, of which no message may come yet. */
  void bytesArrived() {
    bytesArrived = true;
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext context) {
    if (state == State.IDLE && bytesArrived && requestTimer == null) {
      startTimer(this::headLate, shared.bounds().headTimeoutMs());
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
    queue.add(object);
    if (queue.size() > MAX_QUEUED) {
      context.channel().config().setAutoRead(false);
    }
  }

  private void handle(HttpObject object) {
    try {
      if (object instanceof HttpRequest request && state == State.IDLE) {
        headArrived(request);
      }
      if (object instanceof HttpContent content) {
        contentArrived(content);
      }
    } finally {
      ReferenceCountUtil.release(object);
    }
  }

  private void headArrived(HttpRequest request) {
    stopTimer();
    headArrivedNs = shared.nowNs();
    state = State.READING;
    head = request;
    body = Unpooled.compositeBuffer(Integer.MAX_VALUE);
    writer().next(request.method(), HttpUtil.isKeepAlive(request) && !shared.isStopping());
    CallerBounds bounds = shared.bounds();
    Optional<HttpResponseStatus> fault = RequestRules.fault(request, bounds);
    if (fault.isPresent()) {
      refuseInput(fault.get());
      return;
    }
    if (HttpUtil.is100ContinueExpected(request)) {
      writer().goOn();
    }
    long limitMs = deadlineMs(request).orElse(bounds.idleTimeoutMs());
    startTimer(() -> refuseInput(HttpResponseStatus.REQUEST_TIMEOUT), limitMs);
  }

  private OptionalLong deadlineMs(HttpRequest request) {
    return RequestRules.millis(request.headers(), shared.headers().deadlineMs());
  }

  private void contentArrived(HttpContent content) {
    boolean last = content instanceof LastHttpContent;
    bytesArrived &= !last;
    if (state == State.DISCARDING && last) {
      close();
    }
    if (state != State.READING) {
      return;
    }
    if (content.decoderResult().isFailure()) {
      refuseInput(HttpResponseStatus.BAD_REQUEST);
      return;
    }
    int bytes = content.content().readableBytes();
    if (body.readableBytes() + (long) bytes > shared.bounds().maxBodyBytes()) {
      refuseInput(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
      return;
    }
    if (!shared.memory().tryTake(bytes)) {
      refuseForMemory();
      return;
    }
    reservedBytes += bytes;
    if (bytes > 0) {
      body.addComponent(true, content.content().retain());
    }
    if (last) {
      complete();
    }
  }

  private void complete() {
    HttpRequest request = head;
    if (request == null) {
      return;
    }
    stopTimer();
    head = null;
    CompositeByteBuf whole = body;
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
            whole,
            hasBody,
            id(request),
            deadlineNs,
            headArrivedNs);
    Optional<Exchange> started = shared.exchange(message, writer());
    exchange = started.orElse(null);
    started.ifPresent(Exchange::start);
  }

  private Optional<String> id(HttpRequest request) {
    return Optional.ofNullable(request.headers().get(shared.headers().requestId()));
  }

  private void headLate() {
    writer().next(HttpMethod.GET, false);
    refuseInput(HttpResponseStatus.REQUEST_TIMEOUT);
  }

  private void refuseInput(HttpResponseStatus status) {
    shared.inputRefused(status);
    discard();
    writer().plain(status);
  }

  private void refuseForMemory() {
    Optional<String> id = head == null ? Optional.empty() : id(head);
    discard();
    shared.refuse(
        writer(),
        new Refusal.NotRun(NotRunReason.NO_FREE_SLOT),
        id,
        shared.bounds().idleTimeoutMs() * NS_PER_MS);
  }

  private void discard() {
    dropBody();
    state = State.DISCARDING;
    writer().closeAfterAnswer();
    startTimer(this::close, DISCARD_MS);
  }

  private void answerWritten(boolean closes) {
    exchange = null;
    freeMemory();
    if (state == State.DISCARDING || state == State.CLOSED) {
      return;
    }
    if (closes) {
      close();
      return;
    }
    state = State.IDLE;
    while (state != State.BUSY && state != State.CLOSED && !queue.isEmpty()) {
      handle(queue.remove());
    }
    ChannelHandlerContext context = writer().context();
    if (queue.size() <= MAX_QUEUED && !context.channel().config().isAutoRead()) {
      context.channel().config().setAutoRead(true);
    }
    if (state == State.IDLE) {
      idle();
    }
  }

  private void close() {
    state = State.CLOSED;
    stopTimer();
    releaseQueue();
    writer().close();
  }

  private void idle() {
    idleSinceNs = shared.nowNs();
    if (idleTimer == null) {
      armIdle(shared.bounds().idleTimeoutMs());
    }
  }

  private void armIdle(long delayMs) {
    idleTimer = schedule(this::idleDue, Math.max(1, delayMs));
  }

  private void idleDue() {
    idleTimer = null;
    if (state == State.CLOSED) {
      return;
    }
    long limitMs = shared.bounds().idleTimeoutMs();
    long idleMs = state == State.IDLE ? (shared.nowNs() - idleSinceNs) / NS_PER_MS : 0;
    if (idleMs >= limitMs) {
      closeIfIdle();
    } else {
      armIdle(limitMs - idleMs);
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

  private void dropBody() {
    stopTimer();
    head = null;
    if (body != noBody) {
      body.release();
      body = noBody;
    }
    freeMemory();
  }

  private void freeMemory() {
    shared.memory().giveBack(reservedBytes);
    reservedBytes = 0;
  }

  private void releaseQueue() {
    queue.forEach(ReferenceCountUtil::release);
    queue.clear();
  }

  private AnswerWriter writer() {
    if (writer == null) {
      throw new IllegalStateException("connection is not open yet");
    }
    return writer;
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext context) {
    writer().writabilityChanged();
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    state = State.CLOSED;
    if (idleTimer != null) {
      idleTimer.cancel(false);
    }
    dropBody();
    releaseQueue();
    Exchange current = exchange;
    exchange = null;
    if (writer != null) {
      writer.gone();
    }
    if (current != null) {
      current.callerGone();
    }
    shared.closed(this);
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    context.close();
  }
}
