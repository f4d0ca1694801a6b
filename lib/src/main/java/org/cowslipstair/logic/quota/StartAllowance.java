package org.cowslipstair.logic.quota;

import java.util.HashSet;
import java.util.Set;
import org.cowslipstair.model.tenant.TenantName;

/**
 * One request of each tenant that a gateway may run right after its start without a permit. When a
 * whole fleet restarts, the first gateways get the requests of all callers, and nobody lends them
 * shares yet. Not thread-safe.
 */
public final class StartAllowance {
  private static final long DURATION_NS = 5_000_000_000L;

  private final boolean firstStart;
  private final long startNs;
  private final Set<TenantName> used = new HashSet<>();

  /**
   * Creates an unused allowance.
   *
   * @param firstStart whether the whole fleet starts for the first time; then there is no
   *     allowance, since its buckets are full
   */
  public StartAllowance(boolean firstStart, long startNs) {
    this.firstStart = firstStart;
    this.startNs = startNs;
  }

  /** Uses the allowance of a tenant; returns whether there was one. */
  public boolean tryTake(TenantName tenant, long nowNs) {
    if (firstStart || nowNs - startNs >= DURATION_NS) {
      used.clear();
      return false;
    }
    return used.add(tenant);
  }
}
