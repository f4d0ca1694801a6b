package org.cowslipstair.experiments.load;

/** Sends one call and checks its answer; blocks. */
@FunctionalInterface
public interface CallSender {
  /**
   * Sends a call.
   *
   * @param number number of the call in the run, from which its request id is made
   */
  CallerView send(ServiceLoad load, long number, boolean idempotent);
}
