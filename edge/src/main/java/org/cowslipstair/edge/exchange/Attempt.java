package org.cowslipstair.edge.exchange;

import io.netty.buffer.ByteBuf;
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
import org.cowslipstair.edge.backend.RateLimitHeader;
import org.cowslipstair.edge.http.BodyBuffer;
import org.cowslipstair.edge.http.HeaderRules;
import org.cowslipstair.edge.http.ResponseListener;
import org.cowslipstair.edge.http.ServerBytesException;
import org.cowslipstair.edge.http.ServerConnection;
import org.cowslipstair.edge.rollout.VersionRouting;
import org.cowslipstair.logic.invariant.Invariant;
import org.cowslipstair.model.call.MayHaveRunReason;
import org.cowslipstair.model.tenant.Tenant;
import org.jspecify.annotations.Nullable;

/**
 * One send of a request to one backend server. Buffers the response up to a limit and streams it
 * beyond that.
 */
final class Attempt implements ResponseListener {
  /** Responses up to this size are forwarded only when they are complete. */
  private static final int MAX_BUFFERED_BYTES = 256 * 1024;

  private static final long NS_PER_MS = 1_000_000L;

  private final ExchangeContext context;
  private final BackendEntry entry;
  private final ServerConnection connection;
  private final Listener listener;
  private final VersionRouting.Send send;
  private final long sentNs;
  private final BodyBuffer body = new BodyBuffer();
  private @Nullable HttpResponse head;
  private boolean streaming;
  private boolean finished;

  /** Result of a send. */
  sealed interface Result {
    /** A complete response; the receiver owns the body. */
    record CompleteResponse(HttpResponse head, ByteBuf body) implements Result {}

    /** A streamed response is complete. */
    record StreamCompleted() implements Result {}

    /** A streamed response ended before it was complete. */
    record StreamAborted() implements Result {}

    /** The backend server reports that it did not run the request. */
    record NotExecuted(int status) implements Result {}

    /** There is no valid response, and the request may have run. */
    record Failed(MayHaveRunReason reason, String cause) implements Result {}
  }

  /** Receives the events of a send, on the event loop. */
  interface Listener {
    /** The send has ended. Not called after a cancellation. */
    void onAttemptEnded(Attempt attempt, Result result);

    /**
     * The response is too long to buffer. If the listener agrees, {@link #onStreamPart} is called
     * for each part.
     *
     * @return whether to stream; otherwise the send is cancelled
     */
    boolean onStreamStart(Attempt attempt, HttpResponse head);

    /** A part of a streamed response; the listener owns it. */
    void onStreamPart(ByteBuf part);
  }

  Attempt(
      ExchangeContext context,
      BackendEntry entry,
      ServerConnection connection,
      VersionRouting.Send send,
      Listener listener) {
    this.context = context;
    this.send = send;
    this.entry = entry;
    this.connection = connection;
    this.listener = listener;
    this.sentNs = context.nowNs();
  }

  /** Sends the request with the time remaining until the deadline. */
  void send(RequestMessage message, long deadlineNs) {
    entry.stats().recordRequestStart();
    ProtocolHeaders headerNames = context.headers();
    HttpRequest request =
        new DefaultHttpRequest(HttpVersion.HTTP_1_1, message.method(), message.target());
    HttpHeaders headers = request.headers();
    HeaderRules.copyEndToEnd(message.headers(), headers);
    long remainingMs = Math.max(1, (deadlineNs - sentNs) / NS_PER_MS);
    headers.set(headerNames.deadlineMs(), Long.toString(remainingMs));
    headers.set(headerNames.expectInstance(), entry.stats().instance().name().value());
    message.tenant().ifPresent(tenant -> setTenant(headers, tenant, message));
    headers.remove(HttpHeaderNames.CONTENT_LENGTH);
    if (message.hasBody()) {
      headers.set(HttpHeaderNames.CONTENT_LENGTH, message.body().readableBytes());
    }
    connection.send(request, message.body().retainedDuplicate(), message.requestId(), this);
  }

  private void setTenant(HttpHeaders headers, Tenant tenant, RequestMessage message) {
    headers.set(context.headers().tenant(), tenant.name().value());
    if (headers.contains(HttpHeaderNames.AUTHORIZATION)) {
      context.reportViolation(Invariant.KEY_NOT_FORWARDED, message, 1);
      headers.remove(HttpHeaderNames.AUTHORIZATION);
    }
  }

  /** Cancels the send by closing the connection to the backend server. */
  void cancel() {
    if (!finished) {
      markFinished();
      send.recordEnd(VersionRouting.Ending.CANCELLED);
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

  /** Pauses or resumes reading from the connection to the backend server. */
  void setAutoRead(boolean isAutoRead) {
    connection.setAutoRead(isAutoRead);
  }

  @Override
  public void onHead(HttpResponse newHead) {
    head = newHead;
    if (newHead.status().code() != HttpResponseStatus.SERVICE_UNAVAILABLE.code()) {
      entry.stats().notices().recordAccepted(context.nowNs());
    }
    if (recordRateLimit(newHead)) {
      context.fleet().permits().reportLimitChange(entry);
    }
  }

  private boolean recordRateLimit(HttpResponse response) {
    boolean isOtherInstance =
        response.status().code() == HttpResponseStatus.MISDIRECTED_REQUEST.code();
    if (isOtherInstance) {
      return false;
    }
    RateLimitHeader header = context.rateLimitHeader();
    return isSignedSuccess(response)
        ? header.recordFromResponse(entry, response.headers(), context.nowNs())
        : header.recordIfPresent(entry, response.headers(), context.nowNs());
  }

  @Override
  public void onBodyPart(ByteBuf part) {
    HttpResponse responseHead = head;
    if (finished || responseHead == null) {
      return;
    }
    if (streaming) {
      listener.onStreamPart(part.retain());
      return;
    }
    body.add(part);
    if (body.size() > MAX_BUFFERED_BYTES) {
      startStreaming(responseHead);
    }
  }

  private void startStreaming(HttpResponse responseHead) {
    if (!isSignedSuccess(responseHead)) {
      connection.cancel();
      fail(new Result.Failed(MayHaveRunReason.ANSWER_MALFORMED, "long response without proof"));
      return;
    }
    if (!listener.onStreamStart(this, responseHead)) {
      cancel();
      return;
    }
    streaming = true;
    listener.onStreamPart(body.take());
  }

  @Override
  public void onComplete() {
    HttpResponse responseHead = head;
    if (finished || responseHead == null) {
      return;
    }
    markFinished();
    boolean isRefusal = !streaming && isNotExecuted(responseHead);
    boolean isProvenRefusal = isRefusal && connection.recordRefusal();
    context.table().release(entry, connection);
    if (streaming) {
      body.release();
      end(new Result.StreamCompleted());
    } else if (isProvenRefusal) {
      body.release();
      end(new Result.NotExecuted(responseHead.status().code()));
    } else if (isRefusal) {
      body.release();
      end(new Result.Failed(MayHaveRunReason.ANSWER_MALFORMED, "refusal may be a copy"));
    } else if (responseHead.status().codeClass() == HttpStatusClass.SUCCESS
        && !isSignedSuccess(responseHead)) {
      body.release();
      end(new Result.Failed(MayHaveRunReason.ANSWER_MALFORMED, "success without proof"));
    } else {
      end(new Result.CompleteResponse(responseHead, body.take()));
    }
  }

  @Override
  public void onFailure(ServerBytesException cause) {
    if (finished) {
      return;
    }
    if (streaming) {
      fail(new Result.StreamAborted());
      return;
    }
    MayHaveRunReason reason =
        switch (cause) {
          case ServerBytesException.CutShort _ -> MayHaveRunReason.CONNECTION_LOST;
          case ServerBytesException.Malformed _ -> MayHaveRunReason.ANSWER_MALFORMED;
        };
    fail(new Result.Failed(reason, String.valueOf(cause.getMessage())));
  }

  private void fail(Result result) {
    markFinished();
    body.release();
    end(result);
  }

  private void end(Result result) {
    send.recordEnd(AttemptResults.ending(result));
    listener.onAttemptEnded(this, result);
  }

  private void markFinished() {
    finished = true;
    entry.stats().recordRequestEnd();
  }

  private boolean isSignedSuccess(HttpResponse response) {
    return response.status().codeClass() == HttpStatusClass.SUCCESS
        && response.headers().contains(context.headers().signature());
  }

  private boolean isNotExecuted(HttpResponse response) {
    return response.headers().contains(context.headers().notExecuted())
        || response.status().code() == HttpResponseStatus.MISDIRECTED_REQUEST.code();
  }
}
