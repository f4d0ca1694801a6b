package org.cowslipstair.logic.membership;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.cowslipstair.logic.invariant.Invariant;
import org.cowslipstair.logic.invariant.InvariantMonitor;
import org.cowslipstair.logic.membership.MembershipEvent.DeathReason;
import org.cowslipstair.model.config.ConfigVersion;
import org.cowslipstair.model.fleet.GatewayId;
import org.cowslipstair.model.fleet.GatewayName;
import org.cowslipstair.model.fleet.InstanceEntry;
import org.cowslipstair.model.fleet.Member;
import org.cowslipstair.model.fleet.MemberState;
import org.cowslipstair.model.peer.MembershipMessage;
import org.cowslipstair.model.peer.MembershipMessage.Heartbeat;
import org.cowslipstair.model.peer.MembershipMessage.Hello;
import org.cowslipstair.model.peer.MembershipMessage.PoolFree;
import org.cowslipstair.model.peer.MembershipMessage.Roster;
import org.cowslipstair.model.peer.MembershipMessage.Superseded;

/**
 * Decides which gateways are members of the fleet, from the platform's lagging list, connections
 * and heartbeats. Driven by one thread.
 */
public final class MembershipCore {
  private static final long CHECK_INTERVAL_NS = TimeUnit.MILLISECONDS.toNanos(20);

  private final MembershipSettings settings;
  private final Map<GatewayName, Peer> peers = new TreeMap<>();
  private final Isolation isolation;
  private final HeartbeatIntake intake;
  private final PeerRotation rosterRotation = new PeerRotation();
  private final InvariantMonitor monitor;
  private final List<MembershipAction> actions = new ArrayList<>();

  private Member self;
  private boolean isSuperseded;
  private final Set<GatewayId> reportedNamesakes = new HashSet<>();
  private Set<InstanceEntry> namesakes = Set.of();
  private Set<InstanceEntry> dialled = Set.of();
  private FleetView view;
  private long sequence;
  private long nextHeartbeatNs;
  private long nextCheckNs;
  private long nextRosterNs;
  private boolean membersChanged;
  private long lastTurnNs;
  private ConfigVersion config = ConfigVersion.none();
  private List<PoolFree> freeSlots = List.of();

  /** Creates a core that knows no peer. */
  public MembershipCore(
      MembershipSettings settings, Member self, InvariantMonitor monitor, long nowNs) {
    this.settings = settings;
    this.monitor = monitor;
    this.self = self;
    this.isolation = new Isolation(settings, nowNs);
    this.intake = new HeartbeatIntake(settings, this::report);
    this.lastTurnNs = nowNs;
    this.nextHeartbeatNs = nowNs;
    this.nextCheckNs = nowNs;
    this.nextRosterNs = nowNs;
    this.view = new FleetView(1, self.id(), List.of(self), false);
  }

  /** Returns the current view. */
  public FleetView view() {
    return view;
  }

  /** Returns whether the store has to confirm that this gateway is not cut off. */
  public boolean wantsStoreContact() {
    return isolation.wantsStoreContact();
  }

  /** Sets what the next heartbeats say; a new configuration is announced at once. */
  public List<MembershipAction> setStatus(
      ConfigVersion newConfig, List<PoolFree> newFreeSlots, long nowNs) {
    observeTime(nowNs);
    freeSlots = newFreeSlots;
    if (!newConfig.equals(config)) {
      config = newConfig;
      heartbeat(nowNs);
    }
    return takeActions();
  }

  /** Takes the platform's list of instances, or the seeds of the settings. */
  public List<MembershipAction> onInstances(List<InstanceEntry> entries, long nowNs) {
    observeTime(nowNs);
    membersChanged = true;
    peers.values().forEach(peer -> peer.isListed = false);
    Set<InstanceEntry> sameName = new HashSet<>();
    for (InstanceEntry entry : entries) {
      if (entry.name().equals(self.id().name())) {
        if (!entry.peerAddress().equals(self.peerAddress())) {
          sameName.add(entry);
        }
        continue;
      }
      Peer peer = peers.computeIfAbsent(entry.name(), _ -> new Peer(entry));
      peer.entry = entry;
      peer.isListed = !entry.leaving();
    }
    namesakes = sameName;
    peers.values().removeIf(peer -> !peer.isListed && !peer.isConnected && !peer.isAlive());
    return finish(nowNs);
  }

  /** Takes the news that the store confirmed the configuration in force. */
  public List<MembershipAction> onStoreContact(long nowNs) {
    observeTime(nowNs);
    isolation.onStoreContact(nowNs);
    return finish(nowNs);
  }

  /** Takes a new connection of an authenticated peer. */
  public List<MembershipAction> onConnected(GatewayId id, long nowNs) {
    observeTime(nowNs);
    if (id.name().equals(self.id().name())) {
      return finish(nowNs);
    }
    Peer peer =
        peers.computeIfAbsent(id.name(), _ -> new Peer(Peer.unlisted(id.name(), self.zone())));
    if (id.incarnation() < peer.incarnation) {
      report(new MembershipEvent.StaleIncarnation(id, peer.id()));
      Member newer = new Member(peer.id(), self.zone(), peer.address(), MemberState.LIVE);
      Superseded answer = new Superseded(peer.member.orElse(newer));
      actions.add(new MembershipAction.Send(id.name(), answer));
      return finish(nowNs);
    }
    if (id.incarnation() > peer.incarnation) {
      supersede(peer, id);
    }
    peer.isConnected = true;
    membersChanged = true;
    peer.lastHeardNs = nowNs;
    peer.silentAtNs = nowNs + settings.silenceNs(interval());
    sendHeartbeat(List.of(id.name()));
    return finish(nowNs);
  }

  private void supersede(Peer peer, GatewayId current) {
    if (peer.isAlive()) {
      report(new MembershipEvent.Restarted(peer.id(), current));
    }
    peer.begin(current.incarnation());
  }

  /** Takes the end of a connection. */
  public List<MembershipAction> onDisconnected(GatewayId id, long nowNs) {
    observeTime(nowNs);
    Peer peer = peers.get(id.name());
    if (peer != null && peer.incarnation == id.incarnation()) {
      peer.isConnected = false;
      membersChanged = true;
      peer.silentAtNs = nowNs + settings.reconnectGraceNs();
      if (peer.member.filter(m -> m.state() == MemberState.LEAVING).isPresent()) {
        peer.hasLeft = true;
        peer.markDead();
        report(new MembershipEvent.Left(id));
      }
    }
    return finish(nowNs);
  }

  /** Takes the news that another process runs under the name of this one. */
  public List<MembershipAction> onNamesake(Member other, long nowNs) {
    observeTime(nowNs);
    if (other.id().incarnation() != self.id().incarnation() && reportedNamesakes.add(other.id())) {
      report(
          new MembershipEvent.NameConflict(
              self.id().name(), self.peerAddress(), other.peerAddress()));
    }
    if (other.id().incarnation() > self.id().incarnation() && !isSuperseded) {
      isSuperseded = true;
      report(new MembershipEvent.Superseded(other.id(), other.peerAddress()));
    }
    return finish(nowNs);
  }

  /** Takes any message of another part as a sign of life. */
  public List<MembershipAction> onSignOfLife(GatewayId from, long nowNs) {
    observeTime(nowNs);
    Peer peer = peers.get(from.name());
    if (peer != null && peer.isConnected && peer.incarnation == from.incarnation()) {
      peer.heard(peer.silentAtNs - peer.lastHeardNs, nowNs);
    }
    return takeActions();
  }

  /** Takes a message of a peer. */
  public List<MembershipAction> onMessage(GatewayId from, MembershipMessage message, long nowNs) {
    observeTime(nowNs);
    switch (message) {
      case Hello _ -> {
        // The transport consumes it.
      }
      case Heartbeat heartbeat -> onHeartbeat(from, heartbeat, nowNs);
      case Roster roster -> roster.members().forEach(this::onRosterMember);
      case Superseded superseded -> {
        if (superseded.by().id().name().equals(self.id().name())) {
          actions.addAll(onNamesake(superseded.by(), nowNs));
        }
      }
    }
    return finish(nowNs);
  }

  /** Tells a peer that joins of the others, so that of two that join at once one hears of both. */
  private void onHeartbeat(GatewayId from, Heartbeat heartbeat, long nowNs) {
    Optional<Peer> peer = Optional.ofNullable(peers.get(from.name()));
    boolean wasAlive = peer.filter(Peer::isAlive).isPresent();
    membersChanged |= intake.take(peer, from, heartbeat, nowNs);
    if (!wasAlive && peer.filter(Peer::isAlive).isPresent()) {
      sendRoster(from.name());
    }
  }

  private void onRosterMember(Member member) {
    if (!member.id().name().equals(self.id().name())) {
      membersChanged = true;
      peers.computeIfAbsent(member.id().name(), _ -> new Peer(Peer.entryOf(member)));
    }
  }

  /** Announces a planned stop. */
  public List<MembershipAction> leave(long nowNs) {
    observeTime(nowNs);
    membersChanged = true;
    self = new Member(self.id(), self.zone(), self.peerAddress(), MemberState.LEAVING);
    heartbeat(nowNs);
    return finish(nowNs);
  }

  /** Does what is due. */
  public List<MembershipAction> tick(long nowNs) {
    observeTime(nowNs);
    if (nowNs < nextCheckNs && actions.isEmpty()) {
      return List.of();
    }
    nextCheckNs = nowNs + CHECK_INTERVAL_NS;
    for (Peer peer : peers.values()) {
      if (peer.isAlive() && nowNs >= peer.silentAtNs) {
        DeathReason reason = peer.isConnected ? DeathReason.SILENT : DeathReason.CONNECTION_CLOSED;
        peer.markDead();
        membersChanged = true;
        report(new MembershipEvent.Died(peer.id(), reason));
      }
    }
    if (nowNs >= nextHeartbeatNs) {
      heartbeat(nowNs);
    }
    if (nowNs >= nextRosterNs) {
      nextRosterNs = nowNs + settings.rosterIntervalNs();
      rosterRotation.next(peers.values()).ifPresent(this::sendRoster);
    }
    return finish(nowNs);
  }

  private void sendRoster(GatewayName to) {
    actions.add(new MembershipAction.Send(to, new Roster(roster())));
  }

  /** Notices that this process did not run; peers get time to be heard again. */
  private void observeTime(long nowNs) {
    long gapNs = nowNs - lastTurnNs;
    lastTurnNs = nowNs;
    if (gapNs < settings.pauseNs()) {
      return;
    }
    report(new MembershipEvent.Paused(gapNs));
    isolation.onPause(nowNs);
    for (Peer peer : peers.values()) {
      peer.silentAtNs += gapNs;
    }
  }

  private long interval() {
    int connected = 0;
    for (Peer peer : peers.values()) {
      connected += peer.isConnected ? 1 : 0;
    }
    return settings.intervalNs(connected);
  }

  private void heartbeat(long nowNs) {
    nextHeartbeatNs = nowNs + interval();
    List<GatewayName> connected = new ArrayList<>();
    for (Peer peer : peers.values()) {
      if (peer.isConnected) {
        connected.add(peer.name());
      }
    }
    sendHeartbeat(connected);
  }

  private void sendHeartbeat(List<GatewayName> to) {
    sequence++;
    long contactAgeMs = isolation.storeContactAgeMs(lastTurnNs);
    long intervalMs = TimeUnit.NANOSECONDS.toMillis(interval());
    Heartbeat heartbeat =
        new Heartbeat(sequence, self, intervalMs, config, contactAgeMs, freeSlots);
    to.forEach(name -> actions.add(new MembershipAction.Send(name, heartbeat)));
  }

  private List<Member> roster() {
    List<Member> members = new ArrayList<>();
    members.add(self);
    for (Peer peer : peers.values()) {
      if (peer.isAlive()) {
        members.add(peer.member.get());
      }
    }
    members.sort((a, b) -> a.id().compareTo(b.id()));
    return members;
  }

  private List<MembershipAction> finish(long nowNs) {
    isolation.evaluate(peers.values(), nowNs).ifPresent(this::report);
    boolean refusesWork = isSuperseded || isolation.isIsolated();
    if (membersChanged || refusesWork != view.isolated()) {
      membersChanged = false;
      dialPeers();
      publish(refusesWork);
    }
    return takeActions();
  }

  private void dialPeers() {
    Set<InstanceEntry> wanted = new HashSet<>(namesakes);
    for (Peer peer : peers.values()) {
      if (!peer.hasLeft && peer.entry.peerAddress().port() != 0) {
        wanted.add(peer.entry);
      }
    }
    if (!wanted.equals(dialled)) {
      dialled = Set.copyOf(wanted);
      actions.add(new MembershipAction.Connect(dialled));
    }
  }

  private void publish(boolean refusesWork) {
    List<Member> members = roster();
    if (!members.equals(view.members()) || refusesWork != view.isolated()) {
      checkIncarnations(members);
      view = new FleetView(view.number() + 1, self.id(), members, refusesWork);
      actions.add(new MembershipAction.Publish(view));
    }
  }

  private void checkIncarnations(List<Member> members) {
    for (Member member : members) {
      view.member(member.id().name())
          .ifPresent(
              previous ->
                  monitor.checkAtMost(
                      Invariant.INCARNATION_NEVER_FALLS,
                      member.id().name().value(),
                      previous.id().incarnation(),
                      member.id().incarnation()));
    }
  }

  private void report(MembershipEvent event) {
    actions.add(new MembershipAction.Report(event));
  }

  private List<MembershipAction> takeActions() {
    if (actions.isEmpty()) {
      return List.of();
    }
    List<MembershipAction> taken = List.copyOf(actions);
    actions.clear();
    return taken;
  }
}
