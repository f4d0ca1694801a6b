package org.cowslipstair.edge.exchange;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;

/** Helpers for results of sends. */
final class Results {
  private Results() {}

  /** Names a result for logs. */
  static String name(Attempt.Result result) {
    return switch (result) {
      case Attempt.Result.Answered(var head, _) -> Integer.toString(head.status().code());
      case Attempt.Result.StreamEnded _ -> "streamed";
      case Attempt.Result.StreamBroken _ -> "stream_broken";
      case Attempt.Result.NotExecuted(int status) -> "not_executed_" + status;
      case Attempt.Result.Failed(var reason, String cause) -> reason + ": " + cause;
    };
  }

  /** Releases what a result holds. */
  static void release(Attempt.Result result) {
    if (result instanceof Attempt.Result.Answered answered) {
      answered.body().release();
    }
  }

  /** Returns whether an answer reports a failure of the backend server. */
  static boolean isFailure(HttpResponse head) {
    return head.status().codeClass() == HttpStatusClass.SERVER_ERROR
        || head.status().code() == HttpResponseStatus.TOO_MANY_REQUESTS.code();
  }

  /** An answer that promises "not run" is passed on only where the backend server proved it. */
  static boolean mayPassOn(HttpResponseStatus status) {
    return status.code() != HttpResponseStatus.SERVICE_UNAVAILABLE.code()
        && status.code() != HttpResponseStatus.TOO_MANY_REQUESTS.code();
  }

  /** Returns the bytes by which an answer falls short of the length that it announced. */
  static long missingBytes(Attempt.Result.Answered answered) {
    long received = answered.body().readableBytes();
    boolean announced =
        HttpUtil.isContentLengthSet(answered.head())
            && !HttpUtil.isTransferEncodingChunked(answered.head());
    return announced && received > 0
        ? HttpUtil.getContentLength(answered.head(), received) - received
        : 0;
  }
}
