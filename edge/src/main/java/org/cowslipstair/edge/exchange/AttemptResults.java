package org.cowslipstair.edge.exchange;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import org.cowslipstair.edge.rollout.VersionRouting;
import org.cowslipstair.model.call.MayHaveRunReason;

/** Functions on the results of sends. */
final class AttemptResults {
  private AttemptResults() {}

  /** Returns the name of a result for logs. */
  static String name(Attempt.Result result) {
    return switch (result) {
      case Attempt.Result.CompleteResponse(var head, _) -> Integer.toString(head.status().code());
      case Attempt.Result.StreamCompleted _ -> "streamed";
      case Attempt.Result.StreamAborted _ -> "stream_broken";
      case Attempt.Result.NotExecuted(int status) -> "not_executed_" + status;
      case Attempt.Result.Failed(var reason, String cause) -> reason + ": " + cause;
    };
  }

  /** Returns how a send ended for the version of its backend server. */
  static VersionRouting.Ending ending(Attempt.Result result) {
    return switch (result) {
      case Attempt.Result.CompleteResponse(var head, _) ->
          isFailure(head) ? VersionRouting.Ending.FAILED : VersionRouting.Ending.SUCCEEDED;
      case Attempt.Result.StreamCompleted _ -> VersionRouting.Ending.SUCCEEDED;
      case Attempt.Result.NotExecuted _ -> VersionRouting.Ending.REFUSED;
      case Attempt.Result.StreamAborted _, Attempt.Result.Failed _ -> VersionRouting.Ending.FAILED;
    };
  }

  /** Returns whether the connection ended before there was a complete response. */
  static boolean isConnectionLost(Attempt.Result result) {
    return result instanceof Attempt.Result.StreamAborted
        || result instanceof Attempt.Result.Failed(var reason, _)
            && reason == MayHaveRunReason.CONNECTION_LOST;
  }

  /** Releases the buffers of a result. */
  static void release(Attempt.Result result) {
    if (result instanceof Attempt.Result.CompleteResponse response) {
      response.body().release();
    }
  }

  /** Returns whether a response reports a failure of the backend server. */
  static boolean isFailure(HttpResponse head) {
    return head.status().codeClass() == HttpStatusClass.SERVER_ERROR
        || head.status().code() == HttpResponseStatus.TOO_MANY_REQUESTS.code();
  }

  /**
   * Returns whether a failure response can be forwarded to the caller. A status that means "not
   * run" is forwarded only if the backend server proved it.
   */
  static boolean canForward(HttpResponseStatus status) {
    return status.code() != HttpResponseStatus.SERVICE_UNAVAILABLE.code()
        && status.code() != HttpResponseStatus.TOO_MANY_REQUESTS.code();
  }

  /**
   * Returns the number of bytes missing from the announced content length; 0 if no length was
   * announced.
   */
  static long missingBytes(Attempt.Result.CompleteResponse response) {
    long receivedBytes = response.body().readableBytes();
    boolean hasContentLength =
        HttpUtil.isContentLengthSet(response.head())
            && !HttpUtil.isTransferEncodingChunked(response.head());
    return hasContentLength && receivedBytes > 0
        ? HttpUtil.getContentLength(response.head(), receivedBytes) - receivedBytes
        : 0;
  }
}
