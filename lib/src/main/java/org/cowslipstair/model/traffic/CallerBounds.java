package org.cowslipstair.model.traffic;

/**
 * Bounds on what callers may send.
 *
 * @param maxHeadBytes longest request line and headers together
 * @param maxBodyBytes longest body
 * @param headTimeoutMs longest time from the first byte of a request to the end of its head
 * @param idleTimeoutMs time after which an idle connection is closed
 */
public record CallerBounds(
    int maxHeadBytes, long maxBodyBytes, long headTimeoutMs, long idleTimeoutMs) {
  /** Returns the bounds that hold until there is a configuration. */
  public static CallerBounds defaults() {
    return new CallerBounds(16 * 1024, 64L << 20, 5_000, 60_000);
  }
}
