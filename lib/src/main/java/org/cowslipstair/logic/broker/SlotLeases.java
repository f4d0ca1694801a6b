package org.cowslipstair.logic.broker;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.cowslipstair.logic.backend.PoolBackends;
import org.cowslipstair.logic.invariant.Invariant;
import org.cowslipstair.logic.invariant.InvariantMonitor;
import org.cowslipstair.logic.invariant.Violation;
import org.cowslipstair.model.config.BackendName;
import org.cowslipstair.model.fleet.GatewayId;
import org.cowslipstair.model.peer.LeaseMessage.Grant;
import org.cowslipstair.model.pool.BackendState;
import org.cowslipstair.model.pool.CallEnd;
import org.cowslipstair.model.pool.CallReport;
import org.cowslipstair.model.pool.PoolId;

/** Grants and takes back the slots of one pool, and keeps them busy for as long as they may be. */
final class SlotLeases {
  private static final double LEAST_SERVICE_TIMES = 3;
  private final PoolId pool;
  private final BrokerSettings settings;
  private final PoolBackends backends;
  private final InvariantMonitor monitor;
  private final TermRecovery recovery;
  private final LeaseTable table = new LeaseTable();
  private final CompletedRequests completed = new CompletedRequests();
  private final ServiceTimeAverage serviceTime = new ServiceTimeAverage();
  private final SlotPicker picker;
  private long longestCallNs;
  private long grants;
  private long expiries;
  private long reuses;

  SlotLeases(
      PoolId pool,
      BrokerSettings settings,
      PoolBackends backends,
      TermRecovery recovery,
      ColdSlotOwners coldOwners,
      RandomGenerator random,
      InvariantMonitor monitor) {
    this.pool = pool;
    this.settings = settings;
    this.backends = backends;
    this.recovery = recovery;
    this.monitor = monitor;
    picker = new SlotPicker(backends, table, recovery, coldOwners, random);
  }

  void configure(Set<BackendName> takingNewCalls, long longestCallNs) {
    this.longestCallNs = longestCallNs;
    picker.configure(takingNewCalls);
  }

  LeaseTable table() {
    return table;
  }

  CompletedRequests completed() {
    return completed;
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

  /** Returns the longest time for which a slot may be busy without news of its lease. */
  long longestLeaseNs() {
    return longestCallNs + settings.reuseNs() + settings.cancelGraceNs();
  }

  /**
   * Returns the time that a call should have left when it is sent. A call that times out keeps its
   * slot busy for the grace, which costs the pool more than the call is worth.
   */
  long leastTimeToServeNs() {
    return (long) (LEAST_SERVICE_TIMES * serviceTime.averageNs());
  }

  /** Estimates the wait of an acquire behind others, 0 while nothing is known. */
  long estimatedWaitNs(int ahead) {
    int capacity = picker.capacity();
    if (capacity == 0) {
      return 0;
    }
    return (long) ((ahead + 1) * serviceTime.averageNs() / capacity);
  }

  /** Grants a slot if one is free. */
  Optional<Grant> tryGrant(LeaseKey key, long remainingNs, Set<BackendName> excluded, long nowNs) {
    Optional<BackendName> picked = picker.pick(excluded);
    if (picked.isEmpty()) {
      return Optional.empty();
    }
    BackendName backend = picked.get();
    checkGrant(key, backend);
    long validNs = Math.min(remainingNs, longestCallNs) + settings.reuseNs();
    long expiresAtNs = nowNs + validNs + settings.cancelGraceNs();
    LeaseTable.Entry entry = table.add(key, backend, validNs, expiresAtNs);
    backends.started(backend, entry.number(), nowNs);
    grants++;
    return Optional.of(grant(entry));
  }

  private void checkGrant(LeaseKey key, BackendName backend) {
    int out = table.out(backend) + 1;
    String subject = backend.value();
    monitor.checkAtMost(Invariant.LEASES_WITHIN_LIMIT, subject, out, backends.limit(backend));
    if (backends.state(backend) instanceof BackendState.Cold) {
      monitor.checkAtMost(Invariant.COLD_LIMIT, subject, out, backends.limit(backend));
    }
    if (table.get(key).isPresent() || completed.contains(key)) {
      monitor.violated(new Violation(Invariant.ONE_GRANT_PER_REQUEST, key.toString(), 2, 1));
    }
  }

  /** Returns the message that grants a lease. */
  Grant grant(LeaseTable.Entry entry) {
    boolean warm = backends.state(entry.backend()) instanceof BackendState.Warm;
    return new Grant(
        pool, entry.key().requestNumber(), entry.backend(), entry.validNs(), warm, picker.free());
  }

  /** Takes over a lease that another broker granted. */
  void adopt(LeaseKey key, BackendName backend, long busyNs, long nowNs) {
    if (table.get(key).isEmpty()) {
      LeaseTable.Entry entry = table.add(key, backend, 0, nowNs + busyNs);
      backends.started(backend, entry.number(), nowNs);
    }
    recovery.reported(backend, table.out(backend));
  }

  /** Takes over a slot that is busy although its lease is over. */
  void adoptBusySlot(LeaseKey key, BackendName backend, long busyNs, long nowNs) {
    Optional<LeaseTable.Entry> known = table.get(key);
    if (known.isEmpty()) {
      table.endCall(table.add(key, backend, 0, nowNs + busyNs), nowNs + busyNs);
    } else if (!known.get().callEnded()) {
      CallReport cancelled = new CallReport(CallEnd.CANCELLED, 0);
      backends.ended(backend, known.get().number(), cancelled, nowNs);
      table.endCall(known.get(), nowNs + busyNs);
    }
    recovery.reported(backend, table.out(backend));
  }

  /** Takes the report of a call whose lease goes on. */
  void reuse(LeaseKey key, CallReport report, long nowNs) {
    Optional<LeaseTable.Entry> found = table.get(key);
    if (found.isEmpty() || found.get().callEnded()) {
      return;
    }
    LeaseTable.Entry entry = found.get();
    serviceTime.record(report);
    backends.ended(entry.backend(), entry.number(), report, nowNs);
    backends.started(entry.backend(), table.renumber(entry), nowNs);
    reuses++;
  }

  /** Ends a lease; the slot of a call that may still run stays busy for the grace. */
  void release(LeaseKey key, CallReport report, long nowNs) {
    completed.add(key, nowNs);
    Optional<LeaseTable.Entry> found = table.get(key);
    if (found.isEmpty() || found.get().callEnded()) {
      return;
    }
    LeaseTable.Entry entry = found.get();
    serviceTime.record(report);
    backends.ended(entry.backend(), entry.number(), report, nowNs);
    if (report.end().mayStillRun()) {
      table.endCall(entry, nowNs + settings.cancelGraceNs());
      return;
    }
    table.remove(entry);
  }

  /** Removes the leases of a gateway that it does not list and will not use. */
  void retain(GatewayId holder, Set<Long> listed, long floor, long nowNs) {
    for (LeaseTable.Entry entry : table.ofHolder(holder)) {
      long number = entry.key().requestNumber();
      if (number < floor && !listed.contains(number) && !entry.callEnded()) {
        backends.ended(entry.backend(), entry.number(), CallReport.unused(), nowNs);
        table.remove(entry);
        completed.add(entry.key(), nowNs);
      }
    }
  }

  /** Keeps the slots of a dead gateway busy for the grace. */
  void holderDied(GatewayId holder, long nowNs) {
    for (LeaseTable.Entry entry : table.ofHolder(holder)) {
      if (!entry.callEnded()) {
        CallReport cancelled = new CallReport(CallEnd.CANCELLED, 0);
        backends.ended(entry.backend(), entry.number(), cancelled, nowNs);
        table.endCall(entry, nowNs + settings.cancelGraceNs());
        completed.add(entry.key(), nowNs);
      }
    }
  }

  /** Frees the slots of leases that have expired. */
  void expire(long nowNs) {
    completed.forgetOld(nowNs);
    for (LeaseTable.Entry entry : table.expired(nowNs)) {
      if (!entry.callEnded()) {
        CallReport timedOut = new CallReport(CallEnd.TIMED_OUT, 0);
        backends.ended(entry.backend(), entry.number(), timedOut, nowNs);
        expiries++;
      }
      table.remove(entry);
      completed.add(entry.key(), nowNs);
    }
  }

  /** Marks leases of backend servers that have more out than their limit, and returns them. */
  List<LeaseTable.Entry> withdrawPastLimit() {
    List<LeaseTable.Entry> withdrawn = new ArrayList<>();
    for (LeaseTable.Entry entry : table.all()) {
      boolean past = table.out(entry.backend()) > backends.limit(entry.backend());
      if (past && !entry.callEnded() && !entry.isWithdrawn()) {
        entry.withdraw();
        withdrawn.add(entry);
      }
    }
    return withdrawn;
  }

  /** Returns the backend servers that have leases out, members or not. */
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
