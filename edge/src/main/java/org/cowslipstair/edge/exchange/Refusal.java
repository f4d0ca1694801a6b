package org.cowslipstair.edge.exchange;

import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.Locale;
import java.util.OptionalLong;
import org.cowslipstair.model.call.MayHaveRunReason;
import org.cowslipstair.model.call.NotRunReason;

/** A response that this gateway generates in place of one from a backend server. */
public sealed interface Refusal {
  /** Returns the status of the response. */
  HttpResponseStatus status();

  /** Returns the reason for headers, logs and metrics, in lower case. */
  String reasonName();

  /**
   * The request has not run and will not run.
   *
   * @param roomInNs expected time until the request could run, 0 if it could already; empty if
   *     unknown
   */
  record NotRun(NotRunReason reason, OptionalLong roomInNs) implements Refusal {
    /** Creates a refusal of which it is not known when the request could run. */
    public NotRun(NotRunReason reason) {
      this(reason, OptionalLong.empty());
    }

    @Override
    public HttpResponseStatus status() {
      return switch (reason) {
        case NO_ROUTE -> HttpResponseStatus.NOT_FOUND;
        case UNKNOWN_KEY -> HttpResponseStatus.UNAUTHORIZED;
        case OVER_QUOTA -> HttpResponseStatus.TOO_MANY_REQUESTS;
        default -> HttpResponseStatus.SERVICE_UNAVAILABLE;
      };
    }

    @Override
    public String reasonName() {
      return reason.name().toLowerCase(Locale.ROOT);
    }
  }

  /** The request was sent, and nothing proves that it did not run. */
  record MayHaveRun(MayHaveRunReason reason) implements Refusal {
    @Override
    public HttpResponseStatus status() {
      return reason == MayHaveRunReason.DEADLINE_PASSED
          ? HttpResponseStatus.GATEWAY_TIMEOUT
          : HttpResponseStatus.BAD_GATEWAY;
    }

    @Override
    public String reasonName() {
      return reason.name().toLowerCase(Locale.ROOT);
    }
  }
}
