package org.cowslipstair.model.call;

/** Names of header fields that this system reads or writes. */
public final class CallHeaders {
  /** Outcome of a call that was refused: {@code not-run} or {@code may-have-run}. */
  public static final String OUTCOME = "Cowslipstair-Outcome";

  /** Identifies one call of one caller. */
  public static final String REQUEST_ID = "X-Request-Id";

  /** Time that a caller grants to a call, in milliseconds. */
  public static final String TIMEOUT_MS = "Request-Timeout-Ms";

  /** Key under which a call runs at most once. */
  public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

  /** Mark by which a backend server says that it refused a call without running it. */
  public static final String BACKEND_NOT_RUN = "Backend-Not-Run";

  /** Value of {@link #OUTCOME} when the request did not run. */
  public static final String NOT_RUN = "not-run";

  /** Value of {@link #OUTCOME} when the request may have run. */
  public static final String MAY_HAVE_RUN = "may-have-run";

  private CallHeaders() {}
}
