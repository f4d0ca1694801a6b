package org.cowslipstair.model.pool;

/** How a call to a backend server ended, as input for adjusting its concurrency limit. */
public enum CallOutcome {
  /** The complete response arrived. */
  ANSWERED,
  /** The backend server refused the call without executing it. */
  SHED,
  /** The connection failed, or the response was incomplete. */
  FAILED,
  /** The deadline passed. */
  TIMED_OUT,
  /** The gateway cancelled the call; the backend server may still be executing it. */
  CANCELLED,
  /** No byte of the call was sent. */
  UNUSED;

  /** Returns whether the backend server may still be executing the call. */
  public boolean mayStillRun() {
    return switch (this) {
      case FAILED, TIMED_OUT, CANCELLED -> true;
      case ANSWERED, SHED, UNUSED -> false;
    };
  }
}
