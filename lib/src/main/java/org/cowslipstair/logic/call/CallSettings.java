package org.cowslipstair.logic.call;

/**
 * Settings of {@link CallService}.
 *
 * @param maxAttempts most times that one call is sent, hedges not counted
 * @param retryShare most retries as a share of the calls of a service
 * @param firstRetries retries that a service may use before its calls have earned any
 * @param retryBurst retries that a service may save up
 * @param retriesPerSecond retries that a service may use however few its calls are
 * @param hedgeShare most hedges as a share of the calls of a service
 * @param hedgeBurst hedges that a service may save up
 * @param minHedgeDelayNs shortest wait before a call is hedged
 * @param bufferedAnswerBytes longest answer to an idempotent call that is buffered before it is
 *     passed on
 * @param retryAfterMs middle of the times that refused callers are told to wait
 */
public record CallSettings(
    int maxAttempts,
    double retryShare,
    double firstRetries,
    double retryBurst,
    double retriesPerSecond,
    double hedgeShare,
    double hedgeBurst,
    long minHedgeDelayNs,
    int bufferedAnswerBytes,
    long retryAfterMs) {

  /** Returns the settings used where operators set nothing. */
  public static CallSettings defaults() {
    return new CallSettings(3, 0.10, 3, 10, 1, 0.05, 5, 1_000_000L, 64 * 1024, 2_000);
  }
}
