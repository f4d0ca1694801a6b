package org.cowslipstair.logic.membership;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.cowslipstair.model.fleet.GatewayId;
import org.cowslipstair.model.fleet.Member;
import org.cowslipstair.model.fleet.MemberState;
import org.cowslipstair.model.peer.MembershipMessage.Heartbeat;

/** Applies heartbeats to peers; rejects those with a lower incarnation or a stale sequence. */
final class HeartbeatProcessor {
  private final MembershipSettings settings;
  private final Consumer<MembershipEvent> eventConsumer;

  HeartbeatProcessor(MembershipSettings settings, Consumer<MembershipEvent> eventConsumer) {
    this.settings = settings;
    this.eventConsumer = eventConsumer;
  }

  /**
   * Processes a heartbeat.
   *
   * @param knownPeer state of the sender; empty if the sender is not a known peer
   * @param from authenticated peer of the connection that the heartbeat arrived on
   * @return whether the member entry of the peer changed
   */
  boolean process(Optional<Peer> knownPeer, GatewayId from, Heartbeat heartbeat, long nowNs) {
    GatewayId sender = heartbeat.sender().id();
    if (!sender.equals(from)) {
      eventConsumer.accept(new MembershipEvent.ForeignHeartbeat(from, sender));
      return false;
    }
    if (knownPeer.isEmpty()) {
      return false;
    }
    Peer peer = knownPeer.get();
    if (sender.incarnation() < peer.incarnation) {
      onStaleIncarnation(peer, heartbeat, nowNs);
      return false;
    }
    if (sender.incarnation() > peer.incarnation || !peer.isConnected) {
      return false; // Ignored until onConnected was called; the next heartbeat will be processed.
    }
    if (heartbeat.sequence() <= peer.sequence) {
      eventConsumer.accept(
          new MembershipEvent.StaleSequence(sender, heartbeat.sequence(), peer.sequence));
      return false;
    }
    Optional<Member> previousMember = peer.member;
    apply(peer, heartbeat, nowNs);
    return !peer.member.equals(previousMember);
  }

  private void onStaleIncarnation(Peer peer, Heartbeat heartbeat, long nowNs) {
    eventConsumer.accept(new MembershipEvent.StaleIncarnation(heartbeat.sender().id(), peer.id()));
    peer.duplicateNameSinceNs = Math.min(peer.duplicateNameSinceNs, nowNs);
    boolean isStillSending = nowNs >= peer.duplicateNameSinceNs + settings.duplicateNameGraceNs();
    if (isStillSending && !peer.isConflictReported) {
      peer.isConflictReported = true;
      eventConsumer.accept(
          new MembershipEvent.NameConflict(
              peer.name(), peer.address(), heartbeat.sender().peerAddress()));
    }
  }

  private void apply(Peer peer, Heartbeat heartbeat, long nowNs) {
    Member sender = heartbeat.sender();
    Optional<Member> previous = peer.member;
    if (previous.isPresent() && !previous.get().peerAddress().equals(sender.peerAddress())) {
      eventConsumer.accept(
          new MembershipEvent.NameConflict(
              peer.name(), previous.get().peerAddress(), sender.peerAddress()));
    }
    boolean isNew = !peer.isAlive();
    boolean wasLive = previous.filter(m -> m.state() == MemberState.LIVE).isPresent();
    peer.member = Optional.of(sender);
    peer.sequence = heartbeat.sequence();
    peer.lastStoreContactNs = nowNs - TimeUnit.MILLISECONDS.toNanos(heartbeat.storeContactAgeMs());
    peer.hasLeft = false;
    if (peer.entry.peerAddress().port() == 0) {
      peer.entry = Peer.toInstanceEntry(sender);
    }
    peer.recordContact(
        settings.timeoutNs(TimeUnit.MILLISECONDS.toNanos(heartbeat.intervalMs())), nowNs);
    if (isNew) {
      eventConsumer.accept(new MembershipEvent.Joined(sender.id()));
    }
    if (sender.state() == MemberState.LEAVING && (isNew || wasLive)) {
      eventConsumer.accept(new MembershipEvent.Leaving(sender.id()));
    }
  }
}
