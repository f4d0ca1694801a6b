package org.cowslipstair.logic.lessee;

import java.util.Deque;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import org.cowslipstair.model.config.BackendName;
import org.cowslipstair.model.pool.CallOutcome;
import org.cowslipstair.model.pool.CallReport;
import org.cowslipstair.model.pool.PoolId;

/** Leases kept idle for the next calls of this gateway. Thread-safe and lock-free. */
public final class IdleLeases {
  private final Map<PoolId, PoolIdleLeases> pools = new ConcurrentHashMap<>();

  private static final class PoolIdleLeases {
    private final Deque<Lease> leases = new ConcurrentLinkedDeque<>();
    private volatile long lingerNs;
  }

  /** Acquires an idle lease that does not expire before the deadline of a call. */
  public Optional<Lease> tryAcquire(
      PoolId pool, Set<BackendName> excluded, long deadlineNs, long nowNs) {
    PoolIdleLeases poolIdle = pools.get(pool);
    if (poolIdle == null) {
      return Optional.empty();
    }
    for (Lease lease : poolIdle.leases) {
      boolean isUsable = lease.expiresAtNs() >= deadlineNs && !excluded.contains(lease.backend());
      if (isUsable && lease.tryAcquire(nowNs)) {
        poolIdle.leases.remove(lease);
        return Optional.of(lease);
      }
      if (lease.isDiscarded()) {
        poolIdle.leases.remove(lease);
      }
    }
    return Optional.empty();
  }

  /** Keeps the lease of a successful call idle; returns false if it must be released instead. */
  public boolean tryRetain(Lease lease, CallReport report, long nowNs) {
    PoolIdleLeases poolIdle = pools.get(lease.pool());
    if (poolIdle == null || poolIdle.lingerNs <= 0 || lease.grantingBroker().isEmpty()) {
      return false;
    }
    if (report.end() != CallOutcome.ANSWERED) {
      return false;
    }
    if (!lease.tryMakeIdle(report, nowNs + poolIdle.lingerNs)) {
      return false;
    }
    poolIdle.leases.addFirst(lease);
    return true;
  }

  /** Sets how long leases of a pool are kept idle; 0 keeps none. */
  void setLingerNs(PoolId pool, long lingerNs) {
    pools.computeIfAbsent(pool, _ -> new PoolIdleLeases()).lingerNs = lingerNs;
  }

  /** Removes a discarded lease. */
  void remove(Lease lease) {
    PoolIdleLeases poolIdle = pools.get(lease.pool());
    if (poolIdle != null) {
      poolIdle.leases.remove(lease);
    }
  }
}
