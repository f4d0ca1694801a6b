package org.cowslipstair.adapters.http;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import org.cowslipstair.logic.call.CallResult;
import org.cowslipstair.model.call.CallHeaders;
import org.cowslipstair.model.call.MayHaveRunReason;
import org.cowslipstair.model.call.NotRunReason;

/**
 * A refusal as callers read it (RFC 9457).
 *
 * @param type identifies the kind of refusal
 * @param reason name of the refusal
 * @param retryAfterSeconds time to wait before another try, 0 if another try is of no use
 */
@JsonInclude(JsonInclude.Include.NON_DEFAULT)
record Problem(
    String type, String title, int status, String outcome, String reason, long retryAfterSeconds) {
  static final String MEDIA_TYPE = "application/problem+json";
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final String TYPE_PREFIX = "urn:cowslipstair:";
  private static final long MS_PER_SECOND = 1_000;

  static Problem of(CallResult.NotRun notRun) {
    int status = status(notRun.reason());
    long seconds = Math.max(1, Math.ceilDiv(notRun.retryAfterMs(), MS_PER_SECOND));
    return create(
        "request did not run",
        status,
        CallHeaders.NOT_RUN,
        notRun.reason(),
        status == 503 ? seconds : 0);
  }

  static Problem of(CallResult.MayHaveRun mayHaveRun) {
    int status = mayHaveRun.reason() == MayHaveRunReason.DEADLINE_PASSED ? 504 : 502;
    return create("request may have run", status, CallHeaders.MAY_HAVE_RUN, mayHaveRun.reason(), 0);
  }

  static Problem of(BadRequestException.Fault fault) {
    return create(fault.title(), fault.status(), CallHeaders.NOT_RUN, fault, 0);
  }

  /** Describes a request that the HTTP library refused to read. */
  static Problem unreadable(int status) {
    return new Problem(
        TYPE_PREFIX + "unreadable",
        "request is not valid HTTP",
        status,
        CallHeaders.NOT_RUN,
        "unreadable",
        0);
  }

  private static Problem create(
      String title, int status, String outcome, Enum<?> reason, long retryAfterSeconds) {
    String name = reason.name().toLowerCase(Locale.ROOT).replace('_', '-');
    return new Problem(TYPE_PREFIX + name, title, status, outcome, name, retryAfterSeconds);
  }

  private static int status(NotRunReason reason) {
    return switch (reason) {
      case NO_ROUTE -> 404;
      case UNKNOWN_KEY -> 401;
      case OVER_QUOTA -> 429;
      case MISSING_KEY -> 400;
      case DUPLICATE_KEY -> 409;
      case CALLER_GONE -> 400;
      case NO_BACKEND,
          NO_FREE_SLOT,
          RATE_LIMITED,
          BACKENDS_PAUSED,
          DEADLINE_TOO_CLOSE,
          BACKEND_SHED,
          BACKEND_UNREACHABLE,
          CRASHES_BACKENDS,
          GATEWAY_BUSY,
          GATEWAY_STOPPING,
          GATEWAY_ISOLATED,
          NO_CONFIGURATION,
          CONFIGURATION_OUTDATED,
          STORE_UNAVAILABLE ->
          503;
    };
  }

  byte[] toJson() {
    try {
      return JSON.writeValueAsBytes(this);
    } catch (JsonProcessingException _) {
      return "{}".getBytes(StandardCharsets.UTF_8);
    }
  }
}
