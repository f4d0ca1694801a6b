package org.cowslipstair.logic.quota;

import java.util.HashMap;
import java.util.Map;
import org.cowslipstair.model.tenant.TenantName;

/**
 * Remembers until when no permit of a tenant is available, so that a crowd of requests over a quota
 * costs no messages, and lets callers return one after the other. Not thread-safe.
 */
public final class DenialMemory {
  private static final long MIN_PAUSE_NS = 5_000_000L;
  private static final long MAX_PAUSE_NS = 1_000_000_000L;

  /** Maximum time between the first and the last caller that are told to return. */
  private static final long MAX_SPREAD_NS = 5_000_000_000L;

  private static final int PRUNING_THRESHOLD = 512;

  private final Map<TenantName, Entry> entries = new HashMap<>();

  private static final class Entry {
    long pausedUntilNs;
    long availableNs;
    long lastReturnNs;
    long spacingNs;
    boolean isOverQuota;
  }

  /**
   * What a refused caller is told.
   *
   * @param returnInNs time after which the caller should return
   * @param isOverQuota whether the tenant exceeds its quota
   */
  public record Denial(long returnInNs, boolean isOverQuota) {}

  /** Records a denial. */
  public void record(TenantName tenant, QuotaIssuer.Decision.Denied denied, long nowNs) {
    if (entries.size() >= PRUNING_THRESHOLD) {
      entries.values().removeIf(entry -> nowNs - entry.pausedUntilNs >= 0);
    }
    Entry entry = entries.computeIfAbsent(tenant, _ -> newEntry(denied, nowNs));
    long pauseNs = Math.clamp(denied.pauseNs(), MIN_PAUSE_NS, MAX_PAUSE_NS);
    entry.pausedUntilNs = nowNs + Math.clamp(denied.availableInNs(), pauseNs, MAX_PAUSE_NS);
    entry.availableNs = nowNs + denied.availableInNs();
    entry.spacingNs = denied.spacingNs();
    entry.isOverQuota = denied.isOverQuota();
  }

  private static Entry newEntry(QuotaIssuer.Decision.Denied denied, long nowNs) {
    Entry entry = new Entry();
    entry.lastReturnNs = nowNs + denied.availableInNs() - denied.spacingNs();
    return entry;
  }

  /** Returns whether a request of a tenant is denied without asking the issuer. */
  public boolean isPaused(TenantName tenant, long nowNs) {
    Entry entry = entries.get(tenant);
    return entry != null && entry.pausedUntilNs - nowNs > 0;
  }

  /** Returns what to tell the next caller of a tenant that has been denied. */
  public Denial next(TenantName tenant, long nowNs) {
    Entry entry = entries.get(tenant);
    if (entry == null) {
      return new Denial(MIN_PAUSE_NS, true);
    }
    long firstNs = Math.max(entry.availableNs, nowNs);
    long turnNs = Math.max(firstNs, entry.lastReturnNs + entry.spacingNs);
    entry.lastReturnNs = Math.min(turnNs, firstNs + MAX_SPREAD_NS);
    return new Denial(entry.lastReturnNs - nowNs, entry.isOverQuota);
  }
}
