package org.cowslipstair.logic.membership;

import java.util.Optional;
import org.cowslipstair.model.config.HostPort;
import org.cowslipstair.model.config.ZoneName;
import org.cowslipstair.model.fleet.GatewayId;
import org.cowslipstair.model.fleet.GatewayName;
import org.cowslipstair.model.fleet.InstanceEntry;
import org.cowslipstair.model.fleet.Member;
import org.cowslipstair.model.fleet.MemberState;

/** State that a gateway keeps about one peer. */
final class Peer {
  static final long NO_INCARNATION = -1;

  private final GatewayName name;
  InstanceEntry entry;
  boolean isListed;
  boolean hasLeft;
  Optional<Member> member = Optional.empty();
  boolean isConnected;
  long incarnation = NO_INCARNATION;
  long sequence = -1;
  long timeoutAtNs;
  long lastContactNs = Long.MIN_VALUE;
  long lastStoreContactNs = Long.MIN_VALUE;
  long duplicateNameSinceNs = Long.MAX_VALUE;
  boolean isConflictReported;

  Peer(InstanceEntry entry) {
    this.name = entry.name();
    this.entry = entry;
  }

  GatewayName name() {
    return name;
  }

  GatewayId id() {
    return new GatewayId(name, incarnation);
  }

  HostPort address() {
    return member.map(Member::peerAddress).orElse(entry.peerAddress());
  }

  /** Resets the state for a new process of this peer. */
  void startIncarnation(long newIncarnation) {
    incarnation = newIncarnation;
    sequence = -1;
    member = Optional.empty();
    hasLeft = false;
    lastStoreContactNs = Long.MIN_VALUE;
    duplicateNameSinceNs = Long.MAX_VALUE;
    isConflictReported = false;
  }

  /** Returns whether the peer is live or leaving. */
  boolean isAlive() {
    return member.isPresent() && member.get().state() != MemberState.DEAD;
  }

  /** Returns whether the peer is counted as a known member when a majority is determined. */
  boolean countsTowardsMajority() {
    boolean isLeaving = member.filter(m -> m.state() == MemberState.LEAVING).isPresent();
    return !hasLeft && !isLeaving && (isListed || member.isPresent());
  }

  /** Returns whether the peer is connected, alive and has had contact since the given time. */
  boolean isReachableSince(long sinceNs) {
    return isConnected && isAlive() && lastContactNs >= sinceNs;
  }

  /** Records that a message arrived; the peer times out unless another follows in time. */
  void recordContact(long timeoutNs, long nowNs) {
    lastContactNs = nowNs;
    timeoutAtNs = nowNs + timeoutNs;
  }

  void markDead() {
    member = member.map(m -> new Member(m.id(), m.zone(), m.peerAddress(), MemberState.DEAD));
  }

  /** Returns an entry for connecting to a member that is not in the platform's list. */
  static InstanceEntry toInstanceEntry(Member member) {
    return new InstanceEntry(
        member.id().name(), member.zone(), member.peerAddress(), member.peerAddress(), false);
  }

  /** Returns an entry without address, for a peer that connected but is not in the list. */
  static InstanceEntry unlistedEntry(GatewayName name, ZoneName zone) {
    HostPort unknown = new HostPort("", 0);
    return new InstanceEntry(name, zone, unknown, unknown, false);
  }
}
