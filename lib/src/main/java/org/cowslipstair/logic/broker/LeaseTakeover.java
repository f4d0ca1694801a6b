package org.cowslipstair.logic.broker;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cowslipstair.logic.backend.PoolBackends;
import org.cowslipstair.logic.membership.FleetView;
import org.cowslipstair.model.config.BackendName;
import org.cowslipstair.model.fleet.GatewayId;
import org.cowslipstair.model.fleet.Member;
import org.cowslipstair.model.peer.LeaseMessage.HandOver;
import org.cowslipstair.model.peer.LeaseMessage.HandedLease;
import org.cowslipstair.model.peer.LeaseMessage.Held;
import org.cowslipstair.model.peer.LeaseMessage.HeldLease;
import org.cowslipstair.model.pool.PoolId;

/**
 * Learns the leases that other brokers granted, from their holders and from a hand-over. What it
 * remembers of holders and predecessors lasts for the life of the process, so that a late copy of a
 * message has no effect.
 */
final class LeaseTakeover {
  private final PoolId pool;
  private final BrokerSettings settings;
  private final PoolBackends backends;
  private final TermRecovery recovery;
  private final SlotLeases leases;
  private final Map<GatewayId, Long> heldFloors = new HashMap<>();
  private final Map<GatewayId, Long> handOverSequences = new HashMap<>();
  private final Set<GatewayId> present = new LinkedHashSet<>();
  private Optional<EarlyHandOver> early = Optional.empty();
  private long nextHandOver = 1;

  /** A hand-over that arrived before this gateway knew of its term. */
  private record EarlyHandOver(HandOver message, long receivedAtNs) {}

  LeaseTakeover(
      PoolId pool,
      BrokerSettings settings,
      PoolBackends backends,
      TermRecovery recovery,
      SlotLeases leases) {
    this.pool = pool;
    this.settings = settings;
    this.backends = backends;
    this.recovery = recovery;
    this.leases = leases;
  }

  /** Starts to collect what the members of the fleet hold. */
  void start(FleetView view, long nowNs) {
    present.clear();
    for (Member member : view.members()) {
      present.add(member.id());
    }
    long graceEndsAtNs = nowNs + settings.cancelGraceNs();
    recovery.start(present, graceEndsAtNs, nowNs + leases.longestLeaseNs());
    for (BackendName backend : leases.busyBackends()) {
      recovery.reported(backend, leases.table().out(backend));
    }
  }

  /** Uses the hand-over that arrived before the term, if it is not too old. */
  void adoptEarly(long nowNs) {
    if (early.isEmpty()) {
      return;
    }
    long ageNs = nowNs - early.get().receivedAtNs();
    if (ageNs <= leases.longestLeaseNs()) {
      adopt(early.get().message(), ageNs, nowNs);
    }
    early = Optional.empty();
  }

  /** Takes a new view; returns the gateways that are gone. */
  List<GatewayId> onView(FleetView view) {
    Set<GatewayId> members = new HashSet<>();
    for (Member member : view.members()) {
      members.add(member.id());
      if (present.add(member.id())) {
        recovery.appeared(member.id());
      }
    }
    List<GatewayId> gone = new ArrayList<>(present);
    gone.removeAll(members);
    gone.forEach(present::remove);
    return gone;
  }

  /** Returns the first request number that the holder's last report does not cover. */
  long floor(GatewayId holder) {
    return heldFloors.getOrDefault(holder, 0L);
  }

  /** Takes a report of held leases; returns whether it is newer than all before. */
  boolean onHeld(GatewayId from, Held held, long nowNs) {
    if (held.nextRequestNumber() <= floor(from)) {
      return false;
    }
    heldFloors.put(from, held.nextRequestNumber());
    Set<Long> listed = new HashSet<>();
    for (HeldLease lease : held.leases()) {
      listed.add(lease.requestNumber());
      LeaseKey key = new LeaseKey(from, lease.requestNumber());
      if (lease.callEnded()) {
        leases.adoptBusySlot(key, lease.backend(), lease.remainingNs(), nowNs);
      } else if (!leases.completed().contains(key)) {
        long busyNs = lease.remainingNs() + settings.cancelGraceNs();
        leases.adopt(key, lease.backend(), busyNs, nowNs);
      }
    }
    leases.retain(from, listed, held.nextRequestNumber(), nowNs);
    recovery.heldBy(from);
    recovery.finishIfDue(nowNs);
    return true;
  }

  /** Takes the table of a predecessor, at once or when the term starts. */
  void onHandOver(GatewayId from, HandOver handOver, boolean inTerm, long nowNs) {
    long last = handOverSequences.getOrDefault(from, 0L);
    if (handOver.sequence() <= last) {
      return;
    }
    handOverSequences.put(from, handOver.sequence());
    if (!inTerm) {
      early = Optional.of(new EarlyHandOver(handOver, nowNs));
      return;
    }
    adopt(handOver, 0, nowNs);
  }

  private void adopt(HandOver handOver, long ageNs, long nowNs) {
    for (HandedLease lease : handOver.leases()) {
      adopt(lease, lease.remainingNs() - ageNs, nowNs);
    }
    if (recovery.isComplete() || !handOver.complete()) {
      return;
    }
    backends.adopt(handOver.backends(), nowNs);
    recovery.finish();
  }

  private void adopt(HandedLease lease, long busyNs, long nowNs) {
    if (busyNs <= 0) {
      return;
    }
    LeaseKey key = new LeaseKey(lease.holder(), lease.requestNumber());
    if (lease.callEnded()) {
      leases.adoptBusySlot(key, lease.backend(), busyNs, nowNs);
      return;
    }
    boolean gone = leases.completed().contains(key) || key.requestNumber() < floor(key.holder());
    if (!gone) {
      leases.adopt(key, lease.backend(), busyNs, nowNs);
    }
  }

  /** Returns the table for a successor. */
  HandOver handOver(long nowNs) {
    List<HandedLease> handed = new ArrayList<>();
    for (LeaseTable.Entry entry : leases.table().all()) {
      long remainingNs = Math.max(0, entry.expiresAtNs() - nowNs);
      LeaseKey key = entry.key();
      handed.add(
          new HandedLease(
              key.holder(), key.requestNumber(), entry.backend(), remainingNs, entry.callEnded()));
    }
    long sequence = nextHandOver;
    nextHandOver++;
    return new HandOver(pool, sequence, recovery.isComplete(), handed, backends.handOver());
  }
}
