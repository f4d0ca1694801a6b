package org.cowslipstair.model.call;

/** Names and values of the header fields that gateways read or write. */
public final class CallHeaders {
  /** Whether a call that failed was executed: {@code not-run} or {@code may-have-run}. */
  public static final String OUTCOME = "Cowslipstair-Outcome";

  /** Identifies one call of one caller. */
  public static final String REQUEST_ID = "X-Request-Id";

  /** Timeout that a caller sets for a call, in milliseconds. */
  public static final String TIMEOUT_MS = "Request-Timeout-Ms";

  /** Idempotency key; calls with the same key are executed at most once. */
  public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

  /** Set by a backend server that refused a call without executing it. */
  public static final String BACKEND_NOT_RUN = "Backend-Not-Run";

  /** Value of {@link #OUTCOME} if the request was not executed. */
  public static final String NOT_RUN = "not-run";

  /** Value of {@link #OUTCOME} if the request may have been executed. */
  public static final String MAY_HAVE_RUN = "may-have-run";

  private CallHeaders() {}
}
