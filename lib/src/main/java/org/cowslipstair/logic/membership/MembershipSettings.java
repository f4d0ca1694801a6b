package org.cowslipstair.logic.membership;

import java.util.concurrent.TimeUnit;

/**
 * Settings for membership.
 *
 * @param minHeartbeatIntervalNs minimum time between two heartbeats
 * @param intervalPerPeerNs heartbeat interval per connected peer, so that heartbeats cost a gateway
 *     no more in a large fleet than in a small one
 * @param missedIntervals number of heartbeat intervals without a message after which a peer is dead
 * @param minTimeoutNs minimum time without a message after which a peer is dead
 * @param reconnectGraceNs time that a peer has to reconnect after its connection closed
 * @param pauseThresholdNs time without input to the membership core that counts as a pause
 * @param isolationTimeoutNs time without store contact or majority after which a gateway is
 *     isolated
 * @param rosterIntervalNs time between two rosters, which are sent to one peer at a time
 * @param duplicateNameGraceNs time for which an older process with the same name must keep sending
 *     before a name conflict is reported
 */
public record MembershipSettings(
    long minHeartbeatIntervalNs,
    long intervalPerPeerNs,
    int missedIntervals,
    long minTimeoutNs,
    long reconnectGraceNs,
    long pauseThresholdNs,
    long isolationTimeoutNs,
    long rosterIntervalNs,
    long duplicateNameGraceNs) {
  private static final int DEFAULT_MISSED_INTERVALS = 3;

  /** Returns the default settings. */
  public static MembershipSettings defaults() {
    return new MembershipSettings(
        TimeUnit.MILLISECONDS.toNanos(250),
        TimeUnit.MILLISECONDS.toNanos(40),
        DEFAULT_MISSED_INTERVALS,
        TimeUnit.MILLISECONDS.toNanos(1_500),
        TimeUnit.SECONDS.toNanos(1),
        TimeUnit.SECONDS.toNanos(1),
        TimeUnit.SECONDS.toNanos(3),
        TimeUnit.SECONDS.toNanos(2),
        TimeUnit.SECONDS.toNanos(5));
  }

  /** Returns the time between two heartbeats for a number of connected peers. */
  public long heartbeatIntervalNs(int peers) {
    return Math.max(minHeartbeatIntervalNs, peers * intervalPerPeerNs);
  }

  /** Returns the time without a message after which a peer with the given interval is dead. */
  public long timeoutNs(long peerIntervalNs) {
    return Math.max(minTimeoutNs, missedIntervals * peerIntervalNs);
  }
}
