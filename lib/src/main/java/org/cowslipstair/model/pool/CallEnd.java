package org.cowslipstair.model.pool;

/** How a call to a backend server ended, as its limit sees it. */
public enum CallEnd {
  /** The whole answer arrived. */
  ANSWERED,
  /** The backend server refused the call before it ran. */
  SHED,
  /** The connection failed, or the answer broke off. */
  FAILED,
  /** The deadline passed. */
  TIMED_OUT,
  /** The gateway cancelled the call; the backend server may still be working on it. */
  CANCELLED,
  /** No byte of a call was sent. */
  UNUSED;

  /** Returns whether the backend server may still be working on the call. */
  public boolean mayStillRun() {
    return switch (this) {
      case FAILED, TIMED_OUT, CANCELLED -> true;
      case ANSWERED, SHED, UNUSED -> false;
    };
  }
}
