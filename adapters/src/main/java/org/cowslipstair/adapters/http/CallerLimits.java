package org.cowslipstair.adapters.http;

/**
 * Limits of what callers may send and how long they may take.
 *
 * @param maxHeadBytes most bytes of a request line with its header fields
 * @param maxBodyBytes most bytes of a request body
 * @param bufferedBytes bodies up to this size are held in memory, so that a slow caller holds no
 *     slot
 * @param headTimeoutMs longest time from the first byte of a request to the end of its head
 * @param idleTimeoutMs time after which a silent connection without a call is closed
 * @param bodyIdleTimeoutMs longest silence of a caller in the middle of a body, either way
 * @param minBodyBytesPerSecond slowest average rate at which a caller may send a body
 * @param maxCallTimeoutMs longest time that a caller may ask for
 */
public record CallerLimits(
    int maxHeadBytes,
    long maxBodyBytes,
    int bufferedBytes,
    long headTimeoutMs,
    long idleTimeoutMs,
    long bodyIdleTimeoutMs,
    long minBodyBytesPerSecond,
    long maxCallTimeoutMs) {
  private static final int KIB = 1024;
  private static final long GIB = 1024L * 1024 * 1024;

  /** Returns the default limits. */
  public static CallerLimits defaults() {
    return new CallerLimits(16 * KIB, 4 * GIB, 64 * KIB, 5_000, 60_000, 10_000, KIB, 3_600_000);
  }
}
