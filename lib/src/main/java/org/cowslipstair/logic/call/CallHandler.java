package org.cowslipstair.logic.call;

/** Runs calls; blocks, so each call has a thread of its own. */
@FunctionalInterface
public interface CallHandler {
  /**
   * Runs one call.
   *
   * @throws InterruptedException if the caller went away; the call is cancelled
   */
  CallResult handle(CallRequest request) throws InterruptedException;
}
