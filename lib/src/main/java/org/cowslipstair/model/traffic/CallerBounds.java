package org.cowslipstair.model.traffic;

/**
 * Limits on requests and connections from callers.
 *
 * @param maxHeadBytes maximum size of the request line and headers together
 * @param maxBodyBytes maximum size of a request body
 * @param headTimeoutMs maximum time from the first byte of a request to the end of its headers
 * @param idleTimeoutMs time after which an idle connection is closed
 */
public record CallerBounds(
    int maxHeadBytes, long maxBodyBytes, long headTimeoutMs, long idleTimeoutMs) {
  /** Validates the limits. */
  public CallerBounds {
    if (maxHeadBytes <= 0 || maxBodyBytes < 0 || headTimeoutMs <= 0 || idleTimeoutMs <= 0) {
      throw new IllegalArgumentException(
          "limits on callers: %d bytes of head, %d of body, timeouts %d and %d ms"
              .formatted(maxHeadBytes, maxBodyBytes, headTimeoutMs, idleTimeoutMs));
    }
  }

  /** Returns the limits that apply until the first configuration is loaded. */
  public static CallerBounds defaults() {
    return new CallerBounds(16 * 1024, 64L << 20, 5_000, 60_000);
  }
}
