package org.cowslipstair.edge.exchange;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.Locale;
import java.util.Optional;
import org.cowslipstair.model.call.CallHeaders;

/** Writes this gateway's own answers. */
public final class Refusals {
  /** Shortest and longest time that callers are told to wait, in seconds. */
  private static final double MIN_WAIT_S = 0.1;

  private static final double MAX_WAIT_S = 0.5;

  /** Callers wait at most this part of the time they have left. */
  private static final double CALLER_WAIT_PART = 0.3;

  private static final double NS_PER_SECOND = 1e9;

  private final ExchangeContext context;

  /** Creates a writer. */
  public Refusals(ExchangeContext context) {
    this.context = context;
  }

  /**
   * Writes an answer.
   *
   * @param callerLeftNs time that the caller still waits
   */
  public void write(
      Responder responder, Refusal refusal, Optional<String> requestId, long callerLeftNs) {
    HttpHeaders headers = new DefaultHttpHeaders();
    requestId.ifPresent(id -> headers.set(context.headers().requestId(), id));
    headers.set(HttpHeaderNames.CONTENT_TYPE, "application/problem+json");
    String outcome =
        switch (refusal) {
          case Refusal.NotRun _ -> CallHeaders.NOT_RUN;
          case Refusal.MayHaveRun _ -> CallHeaders.MAY_HAVE_RUN;
        };
    headers.set(CallHeaders.OUTCOME, outcome);
    if (refusal.status().code() == HttpResponseStatus.SERVICE_UNAVAILABLE.code()) {
      headers.set(HttpHeaderNames.RETRY_AFTER, retryAfter(callerLeftNs));
    }
    String json =
        "{\"title\":\"%s\",\"status\":%d,\"reason\":\"%s\"}"
            .formatted(outcome, refusal.status().code(), refusal.reasonName());
    ByteBuf body = ByteBufUtil.writeAscii(UnpooledByteBufAllocator.DEFAULT, json);
    responder.answer(refusal.status(), headers, body);
  }

  private String retryAfter(long callerLeftNs) {
    double wait = MIN_WAIT_S + context.random().nextDouble() * (MAX_WAIT_S - MIN_WAIT_S);
    double most = Math.max(0.02, callerLeftNs / NS_PER_SECOND * CALLER_WAIT_PART);
    return String.format(Locale.ROOT, "%.2f", Math.min(wait, most));
  }
}
