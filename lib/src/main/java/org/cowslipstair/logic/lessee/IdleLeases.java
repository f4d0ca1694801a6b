package org.cowslipstair.logic.lessee;

import java.util.Deque;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import org.cowslipstair.model.config.BackendName;
import org.cowslipstair.model.pool.CallEnd;
import org.cowslipstair.model.pool.CallReport;
import org.cowslipstair.model.pool.PoolId;

/** Leases that wait for the next call of this gateway. Lock-free; any thread may use it. */
public final class IdleLeases {
  private final Map<PoolId, PoolIdle> pools = new ConcurrentHashMap<>();

  private static final class PoolIdle {
    private final Deque<Lease> leases = new ConcurrentLinkedDeque<>();
    private volatile long lingerNs;
  }

  /** Takes an idle lease that outlasts the deadline of a call. */
  public Optional<Lease> take(PoolId pool, Set<BackendName> excluded, long deadlineNs, long nowNs) {
    PoolIdle idle = pools.get(pool);
    if (idle == null) {
      return Optional.empty();
    }
    for (Lease lease : idle.leases) {
      boolean fits = lease.expiresAtNs() >= deadlineNs && !excluded.contains(lease.backend());
      if (fits && lease.take(nowNs)) {
        idle.leases.remove(lease);
        return Optional.of(lease);
      }
      if (lease.isGone()) {
        idle.leases.remove(lease);
      }
    }
    return Optional.empty();
  }

  /** Keeps the lease of an answered call; returns false if it must be given back instead. */
  public boolean keep(Lease lease, CallReport report, long nowNs) {
    PoolIdle idle = pools.get(lease.pool());
    if (idle == null || idle.lingerNs <= 0 || lease.granter().isEmpty()) {
      return false;
    }
    if (report.end() != CallEnd.ANSWERED) {
      return false;
    }
    if (!lease.becomeIdle(report, nowNs + idle.lingerNs)) {
      return false;
    }
    idle.leases.addFirst(lease);
    return true;
  }

  /** Sets how long leases of a pool are kept. */
  void linger(PoolId pool, long lingerNs) {
    pools.computeIfAbsent(pool, _ -> new PoolIdle()).lingerNs = lingerNs;
  }

  /** Forgets a lease that was taken out of use. */
  void forget(Lease lease) {
    PoolIdle idle = pools.get(lease.pool());
    if (idle != null) {
      idle.leases.remove(lease);
    }
  }
}
