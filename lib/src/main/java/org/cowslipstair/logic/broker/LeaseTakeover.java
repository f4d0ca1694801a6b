package org.cowslipstair.logic.broker;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cowslipstair.logic.backend.PoolBackendTracker;
import org.cowslipstair.logic.membership.FleetView;
import org.cowslipstair.model.config.BackendName;
import org.cowslipstair.model.fleet.GatewayId;
import org.cowslipstair.model.fleet.Member;
import org.cowslipstair.model.peer.LeaseMessage.HandOver;
import org.cowslipstair.model.peer.LeaseMessage.HandOverLease;
import org.cowslipstair.model.peer.LeaseMessage.HeldLease;
import org.cowslipstair.model.peer.LeaseMessage.HeldLeases;
import org.cowslipstair.model.pool.PoolId;

/**
 * Recovers the leases that other brokers granted, from their holders' reports and from a handover.
 * Request and sequence numbers seen are kept until the process ends, so that a delayed duplicate of
 * a message has no effect.
 */
final class LeaseTakeover {
  private final PoolId pool;
  private final BrokerSettings settings;
  private final PoolBackendTracker backends;
  private final TermRecovery recovery;
  private final SlotLeases leases;
  private final Map<GatewayId, Long> firstUnreportedNumbers = new HashMap<>();
  private final Map<GatewayId, Long> lastHandOverSequences = new HashMap<>();
  private final Set<GatewayId> presentGateways = new LinkedHashSet<>();
  private Optional<EarlyHandOver> earlyHandOver = Optional.empty();
  private long nextHandOverSequence = 1;

  /** A handover that arrived before the term of this gateway started. */
  private record EarlyHandOver(HandOver message, long receivedAtNs) {}

  LeaseTakeover(
      PoolId pool,
      BrokerSettings settings,
      PoolBackendTracker backends,
      TermRecovery recovery,
      SlotLeases leases) {
    this.pool = pool;
    this.settings = settings;
    this.backends = backends;
    this.recovery = recovery;
    this.leases = leases;
  }

  /** Starts to collect the leases that the members of the fleet hold. */
  void startRecovery(FleetView view, long nowNs) {
    presentGateways.clear();
    for (Member member : view.members()) {
      presentGateways.add(member.id());
    }
    long graceEndsAtNs = nowNs + settings.cancelGraceNs();
    recovery.start(presentGateways, graceEndsAtNs, nowNs + leases.maxLeaseNs());
    for (BackendName backend : leases.busyBackends()) {
      recovery.recordReportedLeases(backend, leases.table().busySlots(backend));
    }
  }

  /** Adopts a handover that arrived before the term, unless all its leases have expired. */
  void adoptEarlyHandOver(long nowNs) {
    if (earlyHandOver.isEmpty()) {
      return;
    }
    long ageNs = nowNs - earlyHandOver.get().receivedAtNs();
    if (ageNs <= leases.maxLeaseNs()) {
      adopt(earlyHandOver.get().message(), ageNs, nowNs);
    }
    earlyHandOver = Optional.empty();
  }

  /** Applies a new view of the fleet; returns the gateways that are no longer members. */
  List<GatewayId> onView(FleetView view) {
    Set<GatewayId> members = new HashSet<>();
    for (Member member : view.members()) {
      members.add(member.id());
      if (presentGateways.add(member.id())) {
        recovery.addPeer(member.id());
      }
    }
    List<GatewayId> removed = new ArrayList<>(presentGateways);
    removed.removeAll(members);
    removed.forEach(presentGateways::remove);
    return removed;
  }

  /** Returns the first request number that the holder's latest report does not cover. */
  long firstUnreportedNumber(GatewayId holder) {
    return firstUnreportedNumbers.getOrDefault(holder, 0L);
  }

  /** Applies a report of held leases; returns whether it is newer than all before. */
  boolean onHeld(GatewayId from, HeldLeases held, long nowNs) {
    if (held.nextRequestNumber() <= firstUnreportedNumber(from)) {
      return false;
    }
    firstUnreportedNumbers.put(from, held.nextRequestNumber());
    Set<Long> listedNumbers = new HashSet<>();
    for (HeldLease lease : held.leases()) {
      listedNumbers.add(lease.requestNumber());
      LeaseKey key = new LeaseKey(from, lease.requestNumber());
      if (lease.leaseEnded()) {
        leases.adoptBusySlot(key, lease.backend(), lease.remainingNs(), nowNs);
      } else if (!leases.completedRequests().contains(key)) {
        long busyNs = lease.remainingNs() + settings.cancelGraceNs();
        leases.adopt(key, lease.backend(), busyNs, nowNs);
      }
    }
    leases.removeUnlisted(from, listedNumbers, held.nextRequestNumber(), nowNs);
    recovery.reportReceived(from);
    recovery.finishIfDue(nowNs);
    return true;
  }

  /** Applies a predecessor's lease table: immediately in a term, else when the term starts. */
  void onHandOver(GatewayId from, HandOver handOver, boolean inTerm, long nowNs) {
    long lastSequence = lastHandOverSequences.getOrDefault(from, 0L);
    if (handOver.sequence() <= lastSequence) {
      return;
    }
    lastHandOverSequences.put(from, handOver.sequence());
    if (!inTerm) {
      earlyHandOver = Optional.of(new EarlyHandOver(handOver, nowNs));
      return;
    }
    adopt(handOver, 0, nowNs);
  }

  private void adopt(HandOver handOver, long ageNs, long nowNs) {
    for (HandOverLease lease : handOver.leases()) {
      adopt(lease, lease.remainingNs() - ageNs, nowNs);
    }
    if (recovery.isComplete() || !handOver.complete()) {
      return;
    }
    backends.adopt(handOver.backends(), nowNs);
    recovery.finish();
  }

  private void adopt(HandOverLease lease, long busyNs, long nowNs) {
    if (busyNs <= 0) {
      return;
    }
    LeaseKey key = new LeaseKey(lease.holder(), lease.requestNumber());
    if (lease.leaseEnded()) {
      leases.adoptBusySlot(key, lease.backend(), busyNs, nowNs);
      return;
    }
    boolean hasEnded =
        leases.completedRequests().contains(key)
            || key.requestNumber() < firstUnreportedNumber(key.holder());
    if (!hasEnded) {
      leases.adopt(key, lease.backend(), busyNs, nowNs);
    }
  }

  /** Returns the lease table to send to a successor. */
  HandOver handOver(long nowNs) {
    List<HandOverLease> handedLeases = new ArrayList<>();
    for (LeaseTable.Entry entry : leases.table().all()) {
      long remainingNs = Math.max(0, entry.expiresAtNs() - nowNs);
      LeaseKey key = entry.key();
      handedLeases.add(
          new HandOverLease(
              key.holder(),
              key.requestNumber(),
              entry.backend(),
              remainingNs,
              entry.hasCallEnded()));
    }
    long sequence = nextHandOverSequence;
    nextHandOverSequence++;
    return new HandOver(pool, sequence, recovery.isComplete(), handedLeases, backends.handOver());
  }
}
