package org.cowslipstair.edge.quota;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import org.cowslipstair.logic.quota.QuotaBounds;
import org.cowslipstair.model.tenant.Quota;
import org.cowslipstair.model.tenant.QuotaPolicy;
import org.cowslipstair.model.tenant.TenantName;
import org.cowslipstair.model.traffic.TrafficPlan;
import org.jspecify.annotations.Nullable;

/** Quotas in force, from the configuration and the settings. Used on the event loop only. */
public final class QuotaLimits {
  private final Supplier<Optional<QuotaPolicy>> policy;
  private final Supplier<Optional<TrafficPlan>> plan;
  private final Map<TenantName, Quota> quotas = new HashMap<>();
  private @Nullable TrafficPlan indexedPlan;

  /** Creates limits that follow the configuration and the settings. */
  public QuotaLimits(Supplier<Optional<QuotaPolicy>> policy, Supplier<Optional<TrafficPlan>> plan) {
    this.policy = policy;
    this.plan = plan;
  }

  Optional<QuotaPolicy> policy() {
    return policy.get();
  }

  /** Returns whether there is a quota to keep. */
  boolean hasQuotas() {
    return policy().isPresent() && !quotas().isEmpty();
  }

  long planVersion() {
    return plan.get().map(TrafficPlan::version).orElse(0L);
  }

  /**
   * Returns the limit of a tenant, from the newer one of two configurations; empty if it has none.
   *
   * @param askerQuota limit that the asking gateway knows
   * @param askerVersion version of its configuration
   */
  Optional<QuotaBounds> bounds(TenantName tenant, Quota askerQuota, long askerVersion) {
    Optional<Quota> quota =
        askerVersion > planVersion()
            ? Optional.of(askerQuota)
            : Optional.ofNullable(quotas().get(tenant));
    return policy().flatMap(p -> quota.map(q -> new QuotaBounds(q, p)));
  }

  private Map<TenantName, Quota> quotas() {
    TrafficPlan current = plan.get().orElse(null);
    if (current != indexedPlan) {
      indexedPlan = current;
      quotas.clear();
      if (current != null) {
        current
            .tenants()
            .forEach(tenant -> tenant.quota().ifPresent(quota -> quotas.put(tenant.name(), quota)));
      }
    }
    return quotas;
  }
}
