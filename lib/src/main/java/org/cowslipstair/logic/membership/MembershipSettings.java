package org.cowslipstair.logic.membership;

import java.util.concurrent.TimeUnit;

/**
 * Times of membership.
 *
 * @param minIntervalNs shortest time between two heartbeats
 * @param intervalPerPeerNs time by which each peer stretches the interval, so that the heartbeats
 *     of a large fleet cost a gateway no more than those of a small one
 * @param missedIntervals number of intervals without a sign of life after which a peer is dead
 * @param minSilenceNs shortest silence after which a peer is dead
 * @param reconnectGraceNs time that a peer has to come back after its connection closed
 * @param pauseNs gap between two turns of the control loop that counts as a pause
 * @param isolationNs time without store and majority after which a gateway is isolated
 * @param rosterIntervalNs time between two lists of members, each sent to another peer
 * @param namesakeNs time for which an older process of the same name must keep sending before it
 *     counts as running
 */
public record MembershipSettings(
    long minIntervalNs,
    long intervalPerPeerNs,
    int missedIntervals,
    long minSilenceNs,
    long reconnectGraceNs,
    long pauseNs,
    long isolationNs,
    long rosterIntervalNs,
    long namesakeNs) {
  private static final int MISSED_INTERVALS = 3;

  /** Returns the default times. */
  public static MembershipSettings defaults() {
    return new MembershipSettings(
        TimeUnit.MILLISECONDS.toNanos(250),
        TimeUnit.MILLISECONDS.toNanos(40),
        MISSED_INTERVALS,
        TimeUnit.MILLISECONDS.toNanos(1_500),
        TimeUnit.SECONDS.toNanos(1),
        TimeUnit.SECONDS.toNanos(1),
        TimeUnit.SECONDS.toNanos(3),
        TimeUnit.SECONDS.toNanos(2),
        TimeUnit.SECONDS.toNanos(5));
  }

  /** Returns the time between two heartbeats to a number of peers. */
  public long intervalNs(int peers) {
    return Math.max(minIntervalNs, peers * intervalPerPeerNs);
  }

  /** Returns how long a peer with the given interval may stay silent. */
  public long silenceNs(long theirIntervalNs) {
    return Math.max(minSilenceNs, missedIntervals * theirIntervalNs);
  }
}
