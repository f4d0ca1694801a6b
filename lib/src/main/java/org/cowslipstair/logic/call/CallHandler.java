package org.cowslipstair.logic.call;

/** Runs calls. Blocks until the call has finished, so each call needs its own thread. */
@FunctionalInterface
public interface CallHandler {
  /**
   * Runs one call.
   *
   * @throws InterruptedException if the caller disconnected; the call is cancelled
   */
  CallResult handle(CallRequest request) throws InterruptedException;
}
