package org.cowslipstair.edge.exchange;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpVersion;
import org.cowslipstair.edge.ProtocolHeaders;
import org.cowslipstair.edge.backend.BackendEntry;
import org.cowslipstair.edge.http.AnswerListener;
import org.cowslipstair.edge.http.HeaderRules;
import org.cowslipstair.edge.http.ServerBytesException;
import org.cowslipstair.edge.http.ServerConnection;
import org.cowslipstair.model.call.MayHaveRunReason;
import org.jspecify.annotations.Nullable;

/** One send of a request to one backend server. Buffers the answer up to a bound. */
final class Attempt implements AnswerListener {
  /** Answers up to this size are passed on only when they are whole. */
  private static final int BUFFERED_BYTES = 256 * 1024;

  private static final long NS_PER_MS = 1_000_000L;

  private final ExchangeContext context;
  private final BackendEntry entry;
  private final ServerConnection connection;
  private final Listener listener;
  private final long sentNs;
  private final CompositeByteBuf body = Unpooled.compositeBuffer(Integer.MAX_VALUE);
  private @Nullable HttpResponse head;
  private boolean streaming;
  private boolean over;

  /** How a send ended. */
  sealed interface Result {
    /** The whole answer; the receiver owns the body. */
    record Answered(HttpResponse head, ByteBuf body) implements Result {}

    /** A streamed answer is complete. */
    record StreamEnded() implements Result {}

    /** A streamed answer broke off. */
    record StreamBroken() implements Result {}

    /** The backend server says that it did not run the request. */
    record NotExecuted(int status) implements Result {}

    /** There is no usable answer, and the request may have run. */
    record Failed(MayHaveRunReason reason, String cause) implements Result {}
  }

  /** Receives what happens on a send. */
  interface Listener {
    /** The send has ended. */
    void ended(Attempt attempt, Result result);

    /**
     * The answer is too long to buffer. If the listener agrees, it gets {@link #part} calls.
     *
     * @return whether to stream; otherwise the send is cancelled
     */
    boolean beginStream(Attempt attempt, HttpResponse head);

    /** A part of a streamed answer; the listener owns it. */
    void part(ByteBuf part);
  }

  Attempt(
      ExchangeContext context, BackendEntry entry, ServerConnection connection, Listener listener) {
    this.context = context;
    this.entry = entry;
    this.connection = connection;
    this.listener = listener;
    this.sentNs = context.nowNs();
  }

  /** Sends the request with the time that is left. */
  void send(RequestMessage message, long deadlineNs) {
    entry.record().started();
    ProtocolHeaders names = context.headers();
    HttpRequest request =
        new DefaultHttpRequest(HttpVersion.HTTP_1_1, message.method(), message.target());
    HttpHeaders headers = request.headers();
    HeaderRules.copyEndToEnd(message.headers(), headers);
    long leftMs = Math.max(1, (deadlineNs - sentNs) / NS_PER_MS);
    headers.set(names.deadlineMs(), Long.toString(leftMs));
    headers.set(names.expectInstance(), entry.record().instance().name().value());
    headers.remove(HttpHeaderNames.CONTENT_LENGTH);
    if (message.hasBody()) {
      headers.set(HttpHeaderNames.CONTENT_LENGTH, message.body().readableBytes());
    }
    connection.send(request, message.body().retainedDuplicate(), message.requestId(), this);
  }

  /** Gives up; the backend server sees its connection close. */
  void cancel() {
    if (!over) {
      settle();
      body.release();
      connection.cancel();
    }
  }

  BackendEntry entry() {
    return entry;
  }

  long sentNs() {
    return sentNs;
  }

  /** Asks the backend server's connection to pause or resume. */
  void reading(boolean isReading) {
    connection.reading(isReading);
  }

  @Override
  public void head(HttpResponse newHead) {
    head = newHead;
  }

  @Override
  public void body(ByteBuf part) {
    HttpResponse current = head;
    if (over || current == null) {
      return;
    }
    if (streaming) {
      listener.part(part.retain());
      return;
    }
    body.addComponent(true, part.retain());
    if (body.readableBytes() > BUFFERED_BYTES) {
      stream(current);
    }
  }

  private void stream(HttpResponse current) {
    boolean usable = isSuccess(current) && listener.beginStream(this, current);
    if (!usable) {
      cancel();
      return;
    }
    streaming = true;
    listener.part(body.copy());
    body.clear();
  }

  @Override
  public void end() {
    HttpResponse current = head;
    if (over || current == null) {
      return;
    }
    settle();
    context.table().giveBack(entry, connection);
    if (streaming) {
      body.release();
      listener.ended(this, new Result.StreamEnded());
    } else if (isNotExecuted(current)) {
      body.release();
      listener.ended(this, new Result.NotExecuted(current.status().code()));
    } else if (current.status().codeClass() == HttpStatusClass.SUCCESS && !isSuccess(current)) {
      body.release();
      listener.ended(
          this, new Result.Failed(MayHaveRunReason.ANSWER_MALFORMED, "success without proof"));
    } else {
      listener.ended(this, new Result.Answered(current, body));
    }
  }

  @Override
  public void failed(ServerBytesException cause) {
    if (over) {
      return;
    }
    settle();
    body.release();
    if (streaming) {
      listener.ended(this, new Result.StreamBroken());
      return;
    }
    MayHaveRunReason reason =
        switch (cause) {
          case ServerBytesException.CutShort _ -> MayHaveRunReason.CONNECTION_LOST;
          case ServerBytesException.Malformed _ -> MayHaveRunReason.ANSWER_MALFORMED;
        };
    listener.ended(this, new Result.Failed(reason, String.valueOf(cause.getMessage())));
  }

  private void settle() {
    over = true;
    entry.record().ended();
  }

  private boolean isSuccess(HttpResponse answer) {
    return answer.status().codeClass() == HttpStatusClass.SUCCESS
        && answer.headers().contains(context.headers().proof());
  }

  private boolean isNotExecuted(HttpResponse answer) {
    return answer.headers().contains(context.headers().notExecuted())
        || answer.status().code() == HttpResponseStatus.MISDIRECTED_REQUEST.code();
  }
}
