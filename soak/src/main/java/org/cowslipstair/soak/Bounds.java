package org.cowslipstair.soak;

/**
 * Bounds that the soak gives to the daemons and checks.
 *
 * @param graceMs time from a planned stop to the end of the process
 * @param applyMs time in which accepted configuration is in force
 * @param leaveMs time after which a leaving backend server gets no new work
 * @param zoneOutMs time after which a zone that was taken out gets no new work
 * @param contactMs time without disturbance after which time bounds hold
 * @param retryRatio sends beyond the first for each request of a service
 * @param retrySlack sends beyond the first of a service in a window besides
 * @param windowMs window of the retry budget
 * @param coldPerSecond requests a second that a cold backend server bears, all included
 */
public record Bounds(
    long graceMs,
    long applyMs,
    long leaveMs,
    long zoneOutMs,
    long contactMs,
    double retryRatio,
    double retrySlack,
    long windowMs,
    double coldPerSecond) {
  /** Returns bounds like those of the users' sites. */
  public static Bounds usual() {
    return new Bounds(6_000, 2_000, 2_000, 5_000, 3_000, 0.2, 64, 10_000, 5.4 * 1.5 + 5);
  }
}
