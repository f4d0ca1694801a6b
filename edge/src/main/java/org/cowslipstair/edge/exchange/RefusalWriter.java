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
import java.util.OptionalLong;
import org.cowslipstair.logic.overload.ReturnDelay;
import org.cowslipstair.logic.tenant.KeyCheck;
import org.cowslipstair.model.call.CallHeaders;

/** Writes the responses that this gateway generates itself. */
public final class RefusalWriter {
  private static final double NS_PER_SECOND = 1e9;

  private final ExchangeContext context;
  private final ReturnDelay returnDelay;

  /** Creates a writer. */
  public RefusalWriter(ExchangeContext context) {
    this.context = context;
    this.returnDelay = new ReturnDelay(context.random());
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
    if (refusal instanceof Refusal.NotRun notRun) {
      returnDelayNs(notRun, callerRemainingNs)
          .ifPresent(ns -> headers.set(HttpHeaderNames.RETRY_AFTER, seconds(ns)));
    }
    if (refusal.status().equals(HttpResponseStatus.UNAUTHORIZED)) {
      headers.set(HttpHeaderNames.WWW_AUTHENTICATE, KeyCheck.SCHEME);
    }
    String json =
        "{\"title\":\"%s\",\"status\":%d,\"reason\":\"%s\"}"
            .formatted(outcome, refusal.status().code(), refusal.reasonName());
    ByteBuf body = ByteBufUtil.writeAscii(UnpooledByteBufAllocator.DEFAULT, json);
    responder.writeResponse(refusal.status(), headers, body);
  }

  private OptionalLong returnDelayNs(Refusal.NotRun refusal, long callerRemainingNs) {
    return switch (refusal.reason()) {
      case NO_ROUTE, UNKNOWN_KEY -> OptionalLong.empty();
      // Returning before the next trial is of no use, however long the caller waits.
      case CRASHES_BACKENDS -> refusal.roomInNs();
      case BACKENDS_PAUSED, OVER_QUOTA ->
          refusal.roomInNs().isEmpty()
              ? OptionalLong.empty()
              : OptionalLong.of(returnDelay.announcedDelayNs(refusal.roomInNs().getAsLong()));
      default -> OptionalLong.of(returnDelay.delayNs(refusal.roomInNs(), callerRemainingNs));
    };
  }

  private static String seconds(long ns) {
    return String.format(Locale.ROOT, "%.3f", ns / NS_PER_SECOND);
  }
}
