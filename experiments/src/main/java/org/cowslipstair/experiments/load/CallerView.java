package org.cowslipstair.experiments.load;

/** How one call ended, as its caller saw it. */
public sealed interface CallerView {
  /**
   * A whole answer.
   *
   * @param serviceNs time that the backend server worked on the call
   * @param backendNs time from arrival at the backend server to its answer, queue included
   */
  record Answered(long serviceNs, long backendNs) implements CallerView {}

  /** Refused as not run. */
  record NotRun(int status) implements CallerView {}

  /** Refused with an unknown outcome. */
  record MayHaveRun(int status) implements CallerView {}

  /** The body was short, or not the answer to this call. */
  record WrongBody() implements CallerView {}

  /** The connection failed before the answer was whole, so the caller saw a failure. */
  record ConnectionFailed(String cause) implements CallerView {}

  /** The gateway could not be reached. */
  record Unreachable() implements CallerView {}
}
