package org.cowslipstair.logic.membership;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.cowslipstair.model.fleet.GatewayId;
import org.cowslipstair.model.fleet.Member;
import org.cowslipstair.model.fleet.MemberState;
import org.cowslipstair.model.peer.MembershipMessage.Heartbeat;

/** Decides which heartbeats count; a lower incarnation or sequence never overrides a higher one. */
final class HeartbeatIntake {
  private final MembershipSettings settings;
  private final Consumer<MembershipEvent> events;

  HeartbeatIntake(MembershipSettings settings, Consumer<MembershipEvent> events) {
    this.settings = settings;
    this.events = events;
  }

  /**
   * Takes a heartbeat that came on the connection of a peer.
   *
   * @return whether what is known of the peer as a member changed
   */
  boolean take(Optional<Peer> known, GatewayId from, Heartbeat heartbeat, long nowNs) {
    GatewayId sender = heartbeat.sender().id();
    if (!sender.equals(from)) {
      events.accept(new MembershipEvent.ForeignHeartbeat(from, sender));
      return false;
    }
    if (known.isEmpty()) {
      return false;
    }
    Peer peer = known.get();
    if (sender.incarnation() < peer.incarnation) {
      onStaleIncarnation(peer, heartbeat, nowNs);
      return false;
    }
    if (sender.incarnation() > peer.incarnation || !peer.isConnected) {
      return false; // Counts only once its connection is known; it will be repeated.
    }
    if (heartbeat.sequence() <= peer.sequence) {
      events.accept(new MembershipEvent.StaleSequence(sender, heartbeat.sequence(), peer.sequence));
      return false;
    }
    Optional<Member> before = peer.member;
    accept(peer, heartbeat, nowNs);
    return !peer.member.equals(before);
  }

  private void onStaleIncarnation(Peer peer, Heartbeat heartbeat, long nowNs) {
    events.accept(new MembershipEvent.StaleIncarnation(heartbeat.sender().id(), peer.id()));
    peer.namesakeSinceNs = Math.min(peer.namesakeSinceNs, nowNs);
    boolean keepsSending = nowNs >= peer.namesakeSinceNs + settings.namesakeNs();
    if (keepsSending && !peer.isConflictReported) {
      peer.isConflictReported = true;
      events.accept(
          new MembershipEvent.NameConflict(
              peer.name(), peer.address(), heartbeat.sender().peerAddress()));
    }
  }

  private void accept(Peer peer, Heartbeat heartbeat, long nowNs) {
    Member sender = heartbeat.sender();
    Optional<Member> known = peer.member;
    if (known.isPresent() && !known.get().peerAddress().equals(sender.peerAddress())) {
      events.accept(
          new MembershipEvent.NameConflict(
              peer.name(), known.get().peerAddress(), sender.peerAddress()));
    }
    boolean isNew = !peer.isAlive();
    boolean wasLive = known.filter(m -> m.state() == MemberState.LIVE).isPresent();
    peer.member = Optional.of(sender);
    peer.sequence = heartbeat.sequence();
    peer.storeContactNs = nowNs - TimeUnit.MILLISECONDS.toNanos(heartbeat.storeContactAgeMs());
    peer.hasLeft = false;
    if (peer.entry.peerAddress().port() == 0) {
      peer.entry = Peer.entryOf(sender);
    }
    peer.heard(settings.silenceNs(TimeUnit.MILLISECONDS.toNanos(heartbeat.intervalMs())), nowNs);
    if (isNew) {
      events.accept(new MembershipEvent.Joined(sender.id()));
    }
    if (sender.state() == MemberState.LEAVING && (isNew || wasLive)) {
      events.accept(new MembershipEvent.Leaving(sender.id()));
    }
  }
}
