package org.cowslipstair.logic.quota;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.cowslipstair.logic.invariant.Invariant;
import org.cowslipstair.logic.invariant.InvariantMonitor;
import org.cowslipstair.model.tenant.TenantName;

/**
 * Issues permits for single requests of tenants within the shares that gateways have lent to this
 * one. However the fleet is divided, the issuers together never have more than all shares. Not
 * thread-safe.
 */
public final class QuotaIssuer {
  /** Number of buckets at which those of tenants without recent requests are removed. */
  private static final int PRUNING_THRESHOLD = 4_096;

  /** Share of the fleet above which a denial shows that the tenant exceeds its quota. */
  private static final double MIN_REPRESENTATIVE_SHARE = 0.5;

  /**
   * Minimum time between two requests of one gateway for permits of a tenant that exceeds its
   * quota, for each gateway of the fleet. Longer pauses would favour callers of other gateways.
   */
  private static final long ASKING_PAUSE_NS = 500_000;

  /**
   * Share of the permits that callers who return after a denial may count on. If they took all, new
   * requests would be denied for them.
   */
  private static final double RETURN_SHARE = 0.25;

  private static final double NS_PER_SECOND = 1e9;

  private final long id;
  private final boolean firstStart;
  private final long startNs;
  private final InvariantMonitor monitor;
  private final RandomGenerator random;
  private final LentShares shares;
  private final Map<TenantName, QuotaBucket> buckets = new HashMap<>();
  private long grantedCount;
  private long deniedCount;

  /** Result of a request for a permit. */
  public sealed interface Decision {
    /** One request may run. */
    record Granted() implements Decision {}

    /**
     * No permit is available.
     *
     * @param availableInNs time until the next permit is available
     * @param spacingNs time between two callers that a gateway tells to return
     * @param pauseNs minimum time until the same gateway asks again
     * @param isOverQuota whether the tenant exceeds its quota; otherwise this gateway reaches too
     *     few others to know
     */
    record Denied(long availableInNs, long spacingNs, long pauseNs, boolean isOverQuota)
        implements Decision {}
  }

  /**
   * What an issuer has issued to a tenant.
   *
   * @param bounds limit in force
   * @param issuedInWindow permits issued in the last window
   * @param tokens permits that are available
   * @param lastIssuedNs monotonic time of the last permit
   */
  public record Usage(
      TenantName tenant,
      QuotaBounds bounds,
      int issuedInWindow,
      double tokens,
      long lastIssuedNs) {}

  /**
   * Creates an issuer that has been lent nothing.
   *
   * @param id number of this process, not 0
   * @param firstStart whether the whole fleet starts for the first time, so that nothing has been
   *     issued
   */
  public QuotaIssuer(
      long id, boolean firstStart, InvariantMonitor monitor, RandomGenerator random, long nowNs) {
    this.id = id;
    this.firstStart = firstStart;
    this.startNs = nowNs;
    this.monitor = monitor;
    this.random = random;
    this.shares = new LentShares(nowNs);
  }

  /** Returns the number of this process. */
  public long id() {
    return id;
  }

  /** Sets the names of all known gateways; must be immutable. */
  public void setFleet(Collection<String> gateways, long nowNs) {
    shares.setFleet(gateways, nowNs);
  }

  /** Accepts what a gateway offers; an offer that repeats an old or foreign stamp has no effect. */
  public void accept(String gateway, ShareOffer offer, long nowNs) {
    if (offer.issuerId() != id) {
      return;
    }
    if (offer.kind() == ShareOffer.Kind.RELEASES) {
      shares.release(gateway, nowNs);
      return;
    }
    long untilNs = offer.stampNs() + ShareLender.LOAN_NS;
    if (nowNs - untilNs >= 0 || nowNs - offer.stampNs() < 0) {
      return;
    }
    if (offer.kind() == ShareOffer.Kind.LENDS) {
      shares.lend(gateway, offer.stampNs(), untilNs, nowNs);
    }
    if (offer.advances()) {
      shares.advance(gateway, untilNs, nowNs);
    }
  }

  /** Issues a permit if the quota allows it now. */
  public Decision tryIssue(TenantName tenant, QuotaBounds bounds, long nowNs) {
    QuotaBucket bucket = bucket(tenant, bounds, nowNs);
    if (bucket.tryTake(random, nowNs)) {
      monitor.checkAtMost(
          Invariant.TENANT_QUOTA, tenant.value(), bucket.issuedInWindow(), bounds.maxInWindow());
      grantedCount++;
      return new Decision.Granted();
    }
    deniedCount++;
    double lentShare = shares.lentShare(nowNs);
    double spacingNs =
        shares.fleetSize() / (RETURN_SHARE * bounds.permitsPerSecond()) * NS_PER_SECOND;
    return new Decision.Denied(
        bucket.availableInNs(lentShare, nowNs),
        (long) Math.min(bounds.windowNs(), spacingNs),
        shares.fleetSize() * ASKING_PAUSE_NS,
        lentShare > MIN_REPRESENTATIVE_SHARE);
  }

  /** Takes back a permit whose request has not run. */
  public void giveBack(TenantName tenant) {
    QuotaBucket bucket = buckets.get(tenant);
    if (bucket != null) {
      bucket.giveBack();
    }
  }

  private QuotaBucket bucket(TenantName tenant, QuotaBounds bounds, long nowNs) {
    if (buckets.size() >= PRUNING_THRESHOLD && !buckets.containsKey(tenant)) {
      prune(nowNs);
    }
    QuotaBucket bucket = buckets.computeIfAbsent(tenant, _ -> new QuotaBucket(bounds));
    bucket.refill(bounds, shares, advanceSize(bounds, nowNs), nowNs);
    return bucket;
  }

  /** A fleet that has never run begins with full buckets. */
  private double advanceSize(QuotaBounds bounds, long nowNs) {
    boolean isFirstWindow = firstStart && nowNs - startNs < bounds.windowNs();
    return isFirstWindow ? bounds.depth() : bounds.advance();
  }

  /** A bucket that is created anew later is full; so is one that has been unused for long. */
  private void prune(long nowNs) {
    buckets
        .values()
        .removeIf(
            bucket -> {
              bucket.refill(bucket.bounds(), shares, bucket.bounds().advance(), nowNs);
              return bucket.issuedInWindow() == 0;
            });
  }

  /** Returns the share of the fleet that is lent to this issuer. */
  public double lentShare(long nowNs) {
    return shares.lentShare(nowNs);
  }

  /** Returns the number of permits issued. */
  public long grantedCount() {
    return grantedCount;
  }

  /** Returns the number of requests for permits that were denied. */
  public long deniedCount() {
    return deniedCount;
  }

  /** Returns the tenants that have been issued most in the last window. */
  public List<Usage> topUsages(int limit, long nowNs) {
    return buckets.entrySet().stream()
        .map(
            entry -> {
              QuotaBucket bucket = entry.getValue();
              return new Usage(
                  entry.getKey(),
                  bucket.bounds(),
                  bucket.issuedInWindow(),
                  bucket.tokens(),
                  bucket.lastIssuedNs(nowNs));
            })
        .sorted(Comparator.comparingInt(Usage::issuedInWindow).reversed())
        .limit(limit)
        .toList();
  }

  /** Returns what has been issued to a tenant in the last window. */
  public int issuedInWindow(TenantName tenant) {
    QuotaBucket bucket = buckets.get(tenant);
    return bucket == null ? 0 : bucket.issuedInWindow();
  }
}
