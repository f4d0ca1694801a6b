package org.cowslipstair.model.tenant;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;

/**
 * A customer of a deployment.
 *
 * @param keys digests of the API keys that identify the tenant
 * @param quota limit on its requests; empty if there is none
 * @param priority priority of its requests, 0 is the highest; empty if the route decides
 */
public record Tenant(
    TenantName name, Set<KeyDigest> keys, Optional<Quota> quota, OptionalInt priority) {
  /** Copies the keys. */
  public Tenant {
    keys = Set.copyOf(keys);
  }
}
