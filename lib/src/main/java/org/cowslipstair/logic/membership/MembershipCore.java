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
import org.cowslipstair.model.peer.MembershipMessage.PoolFreeSlots;
import org.cowslipstair.model.peer.MembershipMessage.Roster;
import org.cowslipstair.model.peer.MembershipMessage.Superseded;

/**
 * Decides which gateways are members of the fleet, based on connections, heartbeats and the
 * platform's instance list, which may be out of date. Not thread-safe.
 */
public final class MembershipCore {
  private static final long TICK_INTERVAL_NS = TimeUnit.MILLISECONDS.toNanos(20);

  private final MembershipSettings settings;
  private final Map<GatewayName, Peer> peers = new TreeMap<>();
  private final IsolationDetector isolationDetector;
  private final HeartbeatProcessor heartbeatProcessor;
  private final PeerRoundRobin rosterReceivers = new PeerRoundRobin();
  private final InvariantMonitor monitor;
  private final List<MembershipAction> actions = new ArrayList<>();

  private Member self;
  private boolean isSuperseded;
  private final Set<GatewayId> reportedDuplicates = new HashSet<>();
  private Set<InstanceEntry> sameNameEntries = Set.of();
  private Set<InstanceEntry> connectTargets = Set.of();
  private FleetView view;
  private long heartbeatSequence;
  private long nextHeartbeatNs;
  private long nextTickNs;
  private long nextRosterNs;
  private boolean membersChanged;
  private long lastInputNs;
  private ConfigVersion configVersion = ConfigVersion.none();
  private List<PoolFreeSlots> freeSlots = List.of();

  /** Creates a core without peers. */
  public MembershipCore(
      MembershipSettings settings, Member self, InvariantMonitor monitor, long nowNs) {
    this.settings = settings;
    this.monitor = monitor;
    this.self = self;
    this.isolationDetector = new IsolationDetector(settings, nowNs);
    this.heartbeatProcessor = new HeartbeatProcessor(settings, this::report);
    this.lastInputNs = nowNs;
    this.nextHeartbeatNs = nowNs;
    this.nextTickNs = nowNs;
    this.nextRosterNs = nowNs;
    this.view = new FleetView(1, self.id(), List.of(self), false);
  }

  /** Returns the current view. */
  public FleetView view() {
    return view;
  }

  /** Returns whether this gateway has no majority and so depends on contact with the store. */
  public boolean needsStoreConfirmation() {
    return isolationDetector.needsStoreContact();
  }

  /** Sets the content of the next heartbeats; a changed version is sent immediately. */
  public List<MembershipAction> setStatus(
      ConfigVersion newConfigVersion, List<PoolFreeSlots> newFreeSlots, long nowNs) {
    detectPause(nowNs);
    freeSlots = newFreeSlots;
    if (!newConfigVersion.equals(configVersion)) {
      configVersion = newConfigVersion;
      broadcastHeartbeat(nowNs);
    }
    return drainActions();
  }

  /** Processes the platform's list of instances, or the seed addresses from the settings. */
  public List<MembershipAction> onInstances(List<InstanceEntry> entries, long nowNs) {
    detectPause(nowNs);
    membersChanged = true;
    peers.values().forEach(peer -> peer.isListed = false);
    Set<InstanceEntry> entriesWithOwnName = new HashSet<>();
    for (InstanceEntry entry : entries) {
      if (entry.name().equals(self.id().name())) {
        if (!entry.peerAddress().equals(self.peerAddress())) {
          entriesWithOwnName.add(entry);
        }
        continue;
      }
      Peer peer = peers.computeIfAbsent(entry.name(), _ -> new Peer(entry));
      peer.entry = entry;
      peer.isListed = !entry.leaving();
    }
    sameNameEntries = entriesWithOwnName;
    peers.values().removeIf(peer -> !peer.isListed && !peer.isConnected && !peer.isAlive());
    return publishChanges(nowNs);
  }

  /** Records that the store confirmed the configuration in force. */
  public List<MembershipAction> onStoreConfirmation(long nowNs) {
    detectPause(nowNs);
    isolationDetector.onStoreContact(nowNs);
    return publishChanges(nowNs);
  }

  /** Processes a new connection to an authenticated peer. */
  public List<MembershipAction> onConnected(GatewayId id, long nowNs) {
    detectPause(nowNs);
    if (id.name().equals(self.id().name())) {
      return publishChanges(nowNs);
    }
    Peer peer =
        peers.computeIfAbsent(id.name(), _ -> new Peer(Peer.unlistedEntry(id.name(), self.zone())));
    if (id.incarnation() < peer.incarnation) {
      report(new MembershipEvent.StaleIncarnation(id, peer.id()));
      Member newer = new Member(peer.id(), self.zone(), peer.address(), MemberState.LIVE);
      Superseded superseded = new Superseded(peer.member.orElse(newer));
      actions.add(new MembershipAction.Send(id.name(), superseded));
      return publishChanges(nowNs);
    }
    if (id.incarnation() > peer.incarnation) {
      replaceProcess(peer, id);
    }
    peer.isConnected = true;
    membersChanged = true;
    peer.lastContactNs = nowNs;
    peer.timeoutAtNs = nowNs + settings.timeoutNs(ownHeartbeatIntervalNs());
    sendHeartbeat(List.of(id.name()));
    return publishChanges(nowNs);
  }

  private void replaceProcess(Peer peer, GatewayId current) {
    if (peer.isAlive()) {
      report(new MembershipEvent.Restarted(peer.id(), current));
    }
    peer.startIncarnation(current.incarnation());
  }

  /** Processes a closed connection. */
  public List<MembershipAction> onDisconnected(GatewayId id, long nowNs) {
    detectPause(nowNs);
    Peer peer = peers.get(id.name());
    if (peer != null && peer.incarnation == id.incarnation()) {
      peer.isConnected = false;
      membersChanged = true;
      peer.timeoutAtNs = nowNs + settings.reconnectGraceNs();
      if (peer.member.filter(m -> m.state() == MemberState.LEAVING).isPresent()) {
        peer.hasLeft = true;
        peer.markDead();
        report(new MembershipEvent.Left(id));
      }
    }
    return publishChanges(nowNs);
  }

  /** Processes a report that another process has the name of this one. */
  public List<MembershipAction> onDuplicateName(Member other, long nowNs) {
    detectPause(nowNs);
    if (other.id().incarnation() != self.id().incarnation() && reportedDuplicates.add(other.id())) {
      report(
          new MembershipEvent.NameConflict(
              self.id().name(), self.peerAddress(), other.peerAddress()));
    }
    if (other.id().incarnation() > self.id().incarnation() && !isSuperseded) {
      isSuperseded = true;
      report(new MembershipEvent.Superseded(other.id(), other.peerAddress()));
    }
    return publishChanges(nowNs);
  }

  /** Records a message that is not a membership message as proof that the peer is alive. */
  public List<MembershipAction> onPeerActivity(GatewayId from, long nowNs) {
    detectPause(nowNs);
    Peer peer = peers.get(from.name());
    if (peer != null && peer.isConnected && peer.incarnation == from.incarnation()) {
      peer.recordContact(peer.timeoutAtNs - peer.lastContactNs, nowNs);
    }
    return drainActions();
  }

  /** Processes a membership message from a peer. */
  public List<MembershipAction> onMessage(GatewayId from, MembershipMessage message, long nowNs) {
    detectPause(nowNs);
    switch (message) {
      case Hello _ -> {
        // Handled by the transport.
      }
      case Heartbeat heartbeat -> onHeartbeat(from, heartbeat, nowNs);
      case Roster roster -> roster.members().forEach(this::onRosterMember);
      case Superseded superseded -> {
        if (superseded.by().id().name().equals(self.id().name())) {
          actions.addAll(onDuplicateName(superseded.by(), nowNs));
        }
      }
    }
    return publishChanges(nowNs);
  }

  /**
   * Sends the roster to a peer that joins, so that of two peers that join at the same time, the
   * later one learns of the earlier one.
   */
  private void onHeartbeat(GatewayId from, Heartbeat heartbeat, long nowNs) {
    Optional<Peer> peer = Optional.ofNullable(peers.get(from.name()));
    boolean wasAlive = peer.filter(Peer::isAlive).isPresent();
    membersChanged |= heartbeatProcessor.process(peer, from, heartbeat, nowNs);
    if (!wasAlive && peer.filter(Peer::isAlive).isPresent()) {
      sendRoster(from.name());
    }
  }

  private void onRosterMember(Member member) {
    if (!member.id().name().equals(self.id().name())) {
      membersChanged = true;
      peers.computeIfAbsent(member.id().name(), _ -> new Peer(Peer.toInstanceEntry(member)));
    }
  }

  /** Announces a planned stop of this gateway. */
  public List<MembershipAction> leave(long nowNs) {
    detectPause(nowNs);
    membersChanged = true;
    self = new Member(self.id(), self.zone(), self.peerAddress(), MemberState.LEAVING);
    broadcastHeartbeat(nowNs);
    return publishChanges(nowNs);
  }

  /** Performs due checks and sends; call periodically. */
  public List<MembershipAction> tick(long nowNs) {
    detectPause(nowNs);
    if (nowNs < nextTickNs && actions.isEmpty()) {
      return List.of();
    }
    nextTickNs = nowNs + TICK_INTERVAL_NS;
    for (Peer peer : peers.values()) {
      if (peer.isAlive() && nowNs >= peer.timeoutAtNs) {
        DeathReason reason = peer.isConnected ? DeathReason.SILENT : DeathReason.CONNECTION_CLOSED;
        peer.markDead();
        membersChanged = true;
        report(new MembershipEvent.Died(peer.id(), reason));
      }
    }
    if (nowNs >= nextHeartbeatNs) {
      broadcastHeartbeat(nowNs);
    }
    if (nowNs >= nextRosterNs) {
      nextRosterNs = nowNs + settings.rosterIntervalNs();
      rosterReceivers.next(peers.values()).ifPresent(this::sendRoster);
    }
    return publishChanges(nowNs);
  }

  private void sendRoster(GatewayName receiver) {
    actions.add(new MembershipAction.Send(receiver, new Roster(roster())));
  }

  /** Detects that this process was paused; extends all peer timeouts by the length of the pause. */
  private void detectPause(long nowNs) {
    long gapNs = nowNs - lastInputNs;
    lastInputNs = nowNs;
    if (gapNs < settings.pauseThresholdNs()) {
      return;
    }
    report(new MembershipEvent.Paused(gapNs));
    isolationDetector.onPause(nowNs);
    for (Peer peer : peers.values()) {
      peer.timeoutAtNs += gapNs;
    }
  }

  private long ownHeartbeatIntervalNs() {
    int connected = 0;
    for (Peer peer : peers.values()) {
      connected += peer.isConnected ? 1 : 0;
    }
    return settings.heartbeatIntervalNs(connected);
  }

  private void broadcastHeartbeat(long nowNs) {
    nextHeartbeatNs = nowNs + ownHeartbeatIntervalNs();
    List<GatewayName> connected = new ArrayList<>();
    for (Peer peer : peers.values()) {
      if (peer.isConnected) {
        connected.add(peer.name());
      }
    }
    sendHeartbeat(connected);
  }

  private void sendHeartbeat(List<GatewayName> receivers) {
    heartbeatSequence++;
    long storeContactAgeMs = isolationDetector.storeContactAgeMs(lastInputNs);
    long intervalMs = TimeUnit.NANOSECONDS.toMillis(ownHeartbeatIntervalNs());
    Heartbeat heartbeat =
        new Heartbeat(
            heartbeatSequence, self, intervalMs, configVersion, storeContactAgeMs, freeSlots);
    receivers.forEach(name -> actions.add(new MembershipAction.Send(name, heartbeat)));
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

  private List<MembershipAction> publishChanges(long nowNs) {
    isolationDetector.evaluate(peers.values(), nowNs).ifPresent(this::report);
    boolean shouldRefuseWork = isSuperseded || isolationDetector.isIsolated();
    if (membersChanged || shouldRefuseWork != view.refusesNewWork()) {
      membersChanged = false;
      updateConnections();
      publishView(shouldRefuseWork);
    }
    return drainActions();
  }

  private void updateConnections() {
    Set<InstanceEntry> newTargets = new HashSet<>(sameNameEntries);
    for (Peer peer : peers.values()) {
      if (!peer.hasLeft && peer.entry.peerAddress().port() != 0) {
        newTargets.add(peer.entry);
      }
    }
    if (!newTargets.equals(connectTargets)) {
      connectTargets = Set.copyOf(newTargets);
      actions.add(new MembershipAction.Connect(connectTargets));
    }
  }

  private void publishView(boolean shouldRefuseWork) {
    List<Member> members = roster();
    if (!members.equals(view.members()) || shouldRefuseWork != view.refusesNewWork()) {
      checkIncarnations(members);
      view = new FleetView(view.number() + 1, self.id(), members, shouldRefuseWork);
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

  private List<MembershipAction> drainActions() {
    if (actions.isEmpty()) {
      return List.of();
    }
    List<MembershipAction> drained = List.copyOf(actions);
    actions.clear();
    return drained;
  }
}
