package org.cowslipstair.logic.membership;

import java.util.Optional;
import org.cowslipstair.model.config.HostPort;
import org.cowslipstair.model.config.ZoneName;
import org.cowslipstair.model.fleet.GatewayId;
import org.cowslipstair.model.fleet.GatewayName;
import org.cowslipstair.model.fleet.InstanceEntry;
import org.cowslipstair.model.fleet.Member;
import org.cowslipstair.model.fleet.MemberState;

/** What one gateway knows of another. */
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
  long silentAtNs;
  long lastHeardNs = Long.MIN_VALUE;
  long storeContactNs = Long.MIN_VALUE;
  long namesakeSinceNs = Long.MAX_VALUE;
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

  /** Begins a new process life. */
  void begin(long newIncarnation) {
    incarnation = newIncarnation;
    sequence = -1;
    member = Optional.empty();
    hasLeft = false;
    storeContactNs = Long.MIN_VALUE;
    namesakeSinceNs = Long.MAX_VALUE;
    isConflictReported = false;
  }

  /** Returns whether the peer is live or leaving. */
  boolean isAlive() {
    return member.isPresent() && member.get().state() != MemberState.DEAD;
  }

  /** Returns whether the peer stands in the way of a majority while it cannot be reached. */
  boolean countsAsKnown() {
    boolean isLeaving = member.filter(m -> m.state() == MemberState.LEAVING).isPresent();
    return !hasLeft && !isLeaving && (isListed || member.isPresent());
  }

  /** Returns whether the peer was heard since a moment and its connection is open. */
  boolean isReachableSince(long sinceNs) {
    return isConnected && isAlive() && lastHeardNs >= sinceNs;
  }

  /** Records a sign of life. */
  void heard(long silenceNs, long nowNs) {
    lastHeardNs = nowNs;
    silentAtNs = nowNs + silenceNs;
  }

  void markDead() {
    member = member.map(m -> new Member(m.id(), m.zone(), m.peerAddress(), MemberState.DEAD));
  }

  /** Makes the entry by which a peer is dialled that the platform does not list. */
  static InstanceEntry entryOf(Member member) {
    return new InstanceEntry(
        member.id().name(), member.zone(), member.peerAddress(), member.peerAddress(), false);
  }

  static InstanceEntry unlisted(GatewayName name, ZoneName zone) {
    HostPort unknown = new HostPort("", 0);
    return new InstanceEntry(name, zone, unknown, unknown, false);
  }
}
