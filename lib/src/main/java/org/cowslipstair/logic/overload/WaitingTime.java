package org.cowslipstair.logic.overload;

import java.util.OptionalLong;

/**
 * Decides when a waiting request looks for room again: when a slot is expected to be free, but
 * several times while it can still be in time.
 */
public final class WaitingTime {
  /** Minimum time between two searches; within less, little changes. */
  private static final long MIN_NS = 10_000_000L;

  /** Minimum and maximum share of the slack until the next search. */
  private static final double MIN_SLACK_SHARE = 0.25;

  private static final double MAX_SLACK_SHARE = 0.5;

  private WaitingTime() {}

  /**
   * Returns the time until the next search, in nanoseconds.
   *
   * @param roomInNs expected time until a slot is free; empty if unknown
   */
  public static long untilNextNs(Urgency urgency, OptionalLong roomInNs, long nowNs) {
    long slackNs = urgency.slackNs(nowNs);
    long minNs = Math.max(MIN_NS, (long) (slackNs * MIN_SLACK_SHARE));
    long maxNs = Math.max(minNs, (long) (slackNs * MAX_SLACK_SHARE));
    return Math.clamp(roomInNs.orElse(minNs), minNs, maxNs);
  }
}
