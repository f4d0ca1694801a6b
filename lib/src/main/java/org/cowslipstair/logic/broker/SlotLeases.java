package org.cowslipstair.logic.broker;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.cowslipstair.logic.backend.PoolBackendTracker;
import org.cowslipstair.logic.invariant.Invariant;
import org.cowslipstair.logic.invariant.InvariantMonitor;
import org.cowslipstair.logic.invariant.Violation;
import org.cowslipstair.model.config.BackendName;
import org.cowslipstair.model.fleet.GatewayId;
import org.cowslipstair.model.peer.LeaseMessage.Grant;
import org.cowslipstair.model.pool.BackendState;
import org.cowslipstair.model.pool.CallOutcome;
import org.cowslipstair.model.pool.CallReport;
import org.cowslipstair.model.pool.PoolId;

/** Grants and releases the slots of one pool; a slot stays busy while its call may still run. */
final class SlotLeases {
  private static final double MIN_REMAINING_SERVICE_TIMES = 3;
  private final PoolId pool;
  private final BrokerSettings settings;
  private final PoolBackendTracker backends;
  private final InvariantMonitor monitor;
  private final TermRecovery recovery;
  private final LeaseTable table = new LeaseTable();
  private final CompletedRequests completedRequests = new CompletedRequests();
  private final ServiceTimeAverage serviceTime = new ServiceTimeAverage();
  private final SlotPicker picker;
  private long maxCallNs;
  private long grants;
  private long expiries;
  private long reuses;

  SlotLeases(
      PoolId pool,
      BrokerSettings settings,
      PoolBackendTracker backends,
      TermRecovery recovery,
      ColdBackendOwnership coldOwners,
      RandomGenerator random,
      InvariantMonitor monitor) {
    this.pool = pool;
    this.settings = settings;
    this.backends = backends;
    this.recovery = recovery;
    this.monitor = monitor;
    picker = new SlotPicker(backends, table, recovery, coldOwners, random);
  }

  void configure(Set<BackendName> acceptingNewCalls, long maxCallNs) {
    this.maxCallNs = maxCallNs;
    picker.configure(acceptingNewCalls);
  }

  LeaseTable table() {
    return table;
  }

  CompletedRequests completedRequests() {
    return completedRequests;
  }

  SlotPicker picker() {
    return picker;
  }

  long grants() {
    return grants;
  }

  long reuses() {
    return reuses;
  }

  long expiries() {
    return expiries;
  }

  /** Returns the longest time for which a slot can be busy without a message about its lease. */
  long maxLeaseNs() {
    return maxCallNs + settings.reuseNs() + settings.cancelGraceNs();
  }

  /**
   * Returns the minimum time to the deadline with which a call is granted a slot. A call that times
   * out keeps its slot busy for the grace period, which costs the pool more than the call is worth.
   */
  long minRemainingNs() {
    return (long) (MIN_REMAINING_SERVICE_TIMES * serviceTime.averageNs());
  }

  /** Estimates the wait of an acquire behind others; 0 without members or service times. */
  long estimatedWaitNs(int ahead) {
    int totalLimit = picker.totalLimit();
    if (totalLimit == 0) {
      return 0;
    }
    return (long) ((ahead + 1) * serviceTime.averageNs() / totalLimit);
  }

  /** Grants a slot if one is free. */
  Optional<Grant> tryGrant(LeaseKey key, long remainingNs, Set<BackendName> excluded, long nowNs) {
    Optional<BackendName> picked = picker.pick(excluded);
    if (picked.isEmpty()) {
      return Optional.empty();
    }
    BackendName backend = picked.get();
    checkGrant(key, backend);
    long validNs = Math.min(remainingNs, maxCallNs) + settings.reuseNs();
    long expiresAtNs = nowNs + validNs + settings.cancelGraceNs();
    LeaseTable.Entry entry = table.add(key, backend, validNs, expiresAtNs);
    backends.callStarted(backend, entry.callNumber(), nowNs);
    grants++;
    return Optional.of(grant(entry));
  }

  private void checkGrant(LeaseKey key, BackendName backend) {
    int busySlots = table.busySlots(backend) + 1;
    String subject = backend.value();
    monitor.checkAtMost(Invariant.LEASES_WITHIN_LIMIT, subject, busySlots, backends.limit(backend));
    if (backends.state(backend) instanceof BackendState.Cold) {
      monitor.checkAtMost(Invariant.COLD_LIMIT, subject, busySlots, backends.limit(backend));
    }
    if (table.get(key).isPresent() || completedRequests.contains(key)) {
      monitor.recordViolation(new Violation(Invariant.ONE_GRANT_PER_REQUEST, key.toString(), 2, 1));
    }
  }

  /** Returns the message that grants a lease. */
  Grant grant(LeaseTable.Entry entry) {
    boolean warm = backends.state(entry.backend()) instanceof BackendState.Warm;
    return new Grant(
        pool,
        entry.key().requestNumber(),
        entry.backend(),
        entry.validNs(),
        warm,
        picker.freeSlots());
  }

  /** Adopts a lease that another broker granted. */
  void adopt(LeaseKey key, BackendName backend, long busyNs, long nowNs) {
    if (table.get(key).isEmpty()) {
      LeaseTable.Entry entry = table.add(key, backend, 0, nowNs + busyNs);
      backends.callStarted(backend, entry.callNumber(), nowNs);
    }
    recovery.recordReportedLeases(backend, table.busySlots(backend));
  }

  /** Adopts a slot that is still busy although its lease has ended. */
  void adoptBusySlot(LeaseKey key, BackendName backend, long busyNs, long nowNs) {
    Optional<LeaseTable.Entry> existing = table.get(key);
    if (existing.isEmpty()) {
      table.endCall(table.add(key, backend, 0, nowNs + busyNs), nowNs + busyNs);
    } else if (!existing.get().hasCallEnded()) {
      CallReport cancelled = new CallReport(CallOutcome.CANCELLED, 0);
      backends.callEnded(backend, existing.get().callNumber(), cancelled, nowNs);
      table.endCall(existing.get(), nowNs + busyNs);
    }
    recovery.recordReportedLeases(backend, table.busySlots(backend));
  }

  /** Records the end of a call whose lease its holder uses for another call. */
  void reuse(LeaseKey key, CallReport report, long nowNs) {
    Optional<LeaseTable.Entry> found = table.get(key);
    if (found.isEmpty() || found.get().hasCallEnded()) {
      return;
    }
    LeaseTable.Entry entry = found.get();
    serviceTime.record(report);
    backends.callEnded(entry.backend(), entry.callNumber(), report, nowNs);
    backends.callStarted(entry.backend(), table.assignNextCallNumber(entry), nowNs);
    reuses++;
  }

  /** Ends a lease; the slot of a call that may still run stays busy for the grace period. */
  void release(LeaseKey key, CallReport report, long nowNs) {
    completedRequests.add(key, nowNs);
    Optional<LeaseTable.Entry> found = table.get(key);
    if (found.isEmpty() || found.get().hasCallEnded()) {
      return;
    }
    LeaseTable.Entry entry = found.get();
    serviceTime.record(report);
    backends.callEnded(entry.backend(), entry.callNumber(), report, nowNs);
    if (report.end().mayStillRun()) {
      table.endCall(entry, nowNs + settings.cancelGraceNs());
      return;
    }
    table.remove(entry);
  }

  /** Removes the leases of a gateway below a request number that it does not list as held. */
  void removeUnlisted(
      GatewayId holder, Set<Long> listedNumbers, long firstUnreportedNumber, long nowNs) {
    for (LeaseTable.Entry entry : table.heldBy(holder)) {
      long number = entry.key().requestNumber();
      if (number < firstUnreportedNumber
          && !listedNumbers.contains(number)
          && !entry.hasCallEnded()) {
        backends.callEnded(entry.backend(), entry.callNumber(), CallReport.unused(), nowNs);
        table.remove(entry);
        completedRequests.add(entry.key(), nowNs);
      }
    }
  }

  /** Keeps the slots of a dead gateway busy for the grace period. */
  void endLeasesOfDeadHolder(GatewayId holder, long nowNs) {
    for (LeaseTable.Entry entry : table.heldBy(holder)) {
      if (!entry.hasCallEnded()) {
        CallReport cancelled = new CallReport(CallOutcome.CANCELLED, 0);
        backends.callEnded(entry.backend(), entry.callNumber(), cancelled, nowNs);
        table.endCall(entry, nowNs + settings.cancelGraceNs());
        completedRequests.add(entry.key(), nowNs);
      }
    }
  }

  /** Frees the slots of leases that have expired. */
  void expire(long nowNs) {
    completedRequests.removeExpired(nowNs);
    for (LeaseTable.Entry entry : table.expired(nowNs)) {
      if (!entry.hasCallEnded()) {
        CallReport timedOut = new CallReport(CallOutcome.TIMED_OUT, 0);
        backends.callEnded(entry.backend(), entry.callNumber(), timedOut, nowNs);
        expiries++;
      }
      table.remove(entry);
      completedRequests.add(entry.key(), nowNs);
    }
  }

  /** Withdraws the leases of backend servers over their limit, and returns them. */
  List<LeaseTable.Entry> withdrawOverLimit() {
    List<LeaseTable.Entry> withdrawn = new ArrayList<>();
    for (LeaseTable.Entry entry : table.all()) {
      boolean isOverLimit = table.busySlots(entry.backend()) > backends.limit(entry.backend());
      if (isOverLimit && !entry.hasCallEnded() && !entry.isWithdrawn()) {
        entry.markWithdrawn();
        withdrawn.add(entry);
      }
    }
    return withdrawn;
  }

  /** Returns the backend servers with busy slots, members or not. */
  List<BackendName> busyBackends() {
    List<BackendName> busy = new ArrayList<>();
    for (LeaseTable.Entry entry : table.all()) {
      if (!busy.contains(entry.backend())) {
        busy.add(entry.backend());
      }
    }
    return busy;
  }
}
