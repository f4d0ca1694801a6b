package org.cowslipstair.soak;

/**
 * Limits that the soak passes to the daemons and checks.
 *
 * @param graceMs maximum time from a planned stop to the exit of the process
 * @param applyMs maximum time until an accepted configuration is in force
 * @param leaveMs time after which a leaving backend server receives no new requests
 * @param zoneOutMs time after which a zone that was taken out receives no new requests
 * @param settleMs time after the end of a disturbance from which time limits apply again
 * @param retryRatio retries and hedges allowed per request of a service
 * @param retrySlack further retries and hedges allowed per service and window
 * @param windowMs window of the retry budget
 * @param coldPerSecond maximum total of requests per second to a cold backend server
 */
public record Limits(
    long graceMs,
    long applyMs,
    long leaveMs,
    long zoneOutMs,
    long settleMs,
    double retryRatio,
    double retrySlack,
    long windowMs,
    double coldPerSecond) {
  /** Returns limits like those of the users' sites. */
  public static Limits defaults() {
    return new Limits(6_000, 2_000, 2_000, 5_000, 3_000, 0.2, 64, 10_000, 5.4 * 1.5 + 5);
  }
}
