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

/** Writes the responses that this gateway generates itself. */
public final class RefusalWriter {
  /** Bounds of the random delay in the Retry-After header. */
  private static final double MIN_RETRY_AFTER_SECONDS = 0.1;

  private static final double MAX_RETRY_AFTER_SECONDS = 0.5;

  /** Maximum Retry-After delay as a share of the time that the caller still waits. */
  private static final double MAX_CALLER_TIME_SHARE = 0.3;

  private static final double NS_PER_SECOND = 1e9;

  private final ExchangeContext context;

  /** Creates a writer. */
  public RefusalWriter(ExchangeContext context) {
    this.context = context;
  }

  /**
   * Writes the response to a refused request.
   *
   * @param callerRemainingNs time that the caller still waits
   */
  public void write(
      Responder responder, Refusal refusal, Optional<String> requestId, long callerRemainingNs) {
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
      headers.set(HttpHeaderNames.RETRY_AFTER, retryAfter(callerRemainingNs));
    }
    String json =
        "{\"title\":\"%s\",\"status\":%d,\"reason\":\"%s\"}"
            .formatted(outcome, refusal.status().code(), refusal.reasonName());
    ByteBuf body = ByteBufUtil.writeAscii(UnpooledByteBufAllocator.DEFAULT, json);
    responder.writeResponse(refusal.status(), headers, body);
  }

  private String retryAfter(long callerRemainingNs) {
    double waitSeconds =
        MIN_RETRY_AFTER_SECONDS
            + context.random().nextDouble() * (MAX_RETRY_AFTER_SECONDS - MIN_RETRY_AFTER_SECONDS);
    double maxWaitSeconds =
        Math.max(0.02, callerRemainingNs / NS_PER_SECOND * MAX_CALLER_TIME_SHARE);
    return String.format(Locale.ROOT, "%.2f", Math.min(waitSeconds, maxWaitSeconds));
  }
}
