package org.cowslipstair.logic.tenant;

import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.cowslipstair.model.call.NotRunReason;
import org.cowslipstair.model.tenant.KeyDigest;
import org.cowslipstair.model.tenant.Tenant;
import org.cowslipstair.model.traffic.Route;
import org.cowslipstair.model.traffic.TrafficPlan;

/**
 * Decides which tenant a request belongs to, by the key that it carries. Keys are looked up by
 * their digest, so that the time of a look-up tells nothing of the keys that are in force.
 */
public final class KeyCheck {
  /** Scheme of the Authorization field; compared without regard to case (RFC 9110, 11.1). */
  public static final String SCHEME = "Token";

  /** Longer keys are unknown without being hashed. */
  static final int MAX_KEY_CHARS = 1_024;

  private KeyCheck() {}

  /** What the key of a request tells. */
  public sealed interface Verdict {
    /** The configuration has no tenants, so that no request needs a key. */
    record NotNeeded() implements Verdict {}

    /** The route needs no key; the request belongs to no tenant, whatever it carries. */
    record Anonymous() implements Verdict {}

    /**
     * The key is that of a tenant.
     *
     * @param key digest of the key
     */
    record Accepted(Tenant tenant, KeyDigest key) implements Verdict {}

    /** No tenant holds the key, or there is none. */
    record Unknown() implements Verdict {}

    /** No tenant holds the key, but the configuration may be newer than the one known here. */
    record Outdated() implements Verdict {}
  }

  /**
   * Checks the key of a request.
   *
   * @param authorization values of all its Authorization fields
   * @param isPlanCurrent whether the plan is proved to be current; only asked if no tenant of it
   *     holds the key
   */
  public static Verdict check(
      TrafficPlan plan, Route route, List<String> authorization, BooleanSupplier isPlanCurrent) {
    if (plan.tenants().isEmpty()) {
      return new Verdict.NotNeeded();
    }
    if (route.anonymous()) {
      return new Verdict.Anonymous();
    }
    Optional<KeyDigest> key = key(authorization).map(KeyDigest::of);
    Optional<Tenant> tenant = key.flatMap(plan::tenant);
    if (key.isPresent() && tenant.isPresent()) {
      return new Verdict.Accepted(tenant.get(), key.get());
    }
    return isPlanCurrent.getAsBoolean() ? new Verdict.Unknown() : new Verdict.Outdated();
  }

  /**
   * Returns why a request that was admitted before must not be sent under the plan in force now:
   * its key has been withdrawn or belongs to another tenant, or keys were not needed then. Empty if
   * it may be sent.
   *
   * @param key digest of its key; empty if none was needed
   * @param tenant tenant that held the key when the request was admitted
   */
  public static Optional<NotRunReason> reasonNotToSend(
      TrafficPlan plan, Route route, Optional<KeyDigest> key, Optional<Tenant> tenant) {
    if (key.isEmpty()) {
      boolean needsKey = !plan.tenants().isEmpty() && !route.anonymous();
      return needsKey ? Optional.of(NotRunReason.CONFIGURATION_OUTDATED) : Optional.empty();
    }
    if (plan.tenants().isEmpty()) {
      return Optional.empty();
    }
    Optional<Tenant> holder = plan.tenant(key.get());
    if (holder.isEmpty()) {
      return Optional.of(NotRunReason.UNKNOWN_KEY);
    }
    return holder.map(Tenant::name).equals(tenant.map(Tenant::name))
        ? Optional.empty()
        : Optional.of(NotRunReason.CONFIGURATION_OUTDATED);
  }

  private static Optional<String> key(List<String> authorization) {
    if (authorization.size() != 1) {
      return Optional.empty();
    }
    String value = authorization.getFirst();
    int schemeEnd = value.indexOf(' ');
    if (schemeEnd < 0 || !value.substring(0, schemeEnd).equalsIgnoreCase(SCHEME)) {
      return Optional.empty();
    }
    // One space or more separate the scheme from the key.
    String key = value.substring(schemeEnd).replaceFirst("^ +", "");
    boolean isKey =
        !key.isEmpty()
            && key.length() <= MAX_KEY_CHARS
            && key.chars().allMatch(c -> c > ' ' && c < 0x7f);
    return isKey ? Optional.of(key) : Optional.empty();
  }
}
