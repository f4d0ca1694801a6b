package org.cowslipstair.logic.overload;

import java.util.Comparator;

/**
 * How urgent a request is: the one order in which requests of a service get room while it is short.
 * The most urgent comes first.
 *
 * @param priority priority of the tenant, else of the route; 0 is the highest
 * @param latestStartNs monotonic time until which the request can start and be in time
 * @param workNs expected time that a backend server works on it, in nanoseconds
 */
public record Urgency(int priority, long latestStartNs, double workNs)
    implements Comparable<Urgency> {
  private static final Comparator<Urgency> ORDER =
      Comparator.comparingInt(Urgency::priority)
          .thenComparing((first, second) -> Long.signum(first.latestStartNs - second.latestStartNs))
          .thenComparingDouble(Urgency::workNs);

  /** Operators' priority decides, then the earlier latest start, then the shorter work. */
  @Override
  public int compareTo(Urgency other) {
    return ORDER.compare(this, other);
  }

  /** Returns the time for which the request can be delayed and still be in time; at least 0. */
  public long slackNs(long nowNs) {
    return Math.max(0, latestStartNs - nowNs);
  }
}
