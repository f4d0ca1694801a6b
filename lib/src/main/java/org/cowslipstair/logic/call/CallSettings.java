package org.cowslipstair.logic.call;

/**
 * Settings of {@link CallService}.
 *
 * @param maxAttempts maximum number of times that one call is sent, not counting hedges
 * @param retryShare maximum retries as a share of the calls of a service
 * @param initialRetries retries available to a service before its calls have earned any
 * @param retryBurst maximum unused retries that a service may accumulate
 * @param retriesPerSecond retries per second that a service earns regardless of its number of calls
 * @param hedgeShare maximum hedges as a share of the calls of a service
 * @param hedgeBurst maximum unused hedges that a service may accumulate
 * @param minHedgeDelayNs minimum delay before a call is hedged
 * @param maxBufferedResponseBytes maximum length of a response to an idempotent call that is
 *     buffered before it is forwarded
 * @param meanRetryAfterMs mean of the retry delays sent to refused callers
 */
public record CallSettings(
    int maxAttempts,
    double retryShare,
    double initialRetries,
    double retryBurst,
    double retriesPerSecond,
    double hedgeShare,
    double hedgeBurst,
    long minHedgeDelayNs,
    int maxBufferedResponseBytes,
    long meanRetryAfterMs) {

  /** Returns the default settings. */
  public static CallSettings defaults() {
    return new CallSettings(3, 0.10, 3, 10, 1, 0.05, 5, 1_000_000L, 64 * 1024, 2_000);
  }
}
