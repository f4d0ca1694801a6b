package org.cowslipstair.model.config;

import java.util.Optional;
import java.util.Set;

/**
 * Sends calls that match a host, path prefix and method to a service.
 *
 * @param priority rules with a higher priority are tried first; then the longer path prefix
 * @param host value of the Host header without port, or empty for any
 * @param methods methods that match, or empty for any
 * @param idempotent overrides whether calls are idempotent by their method
 * @param oncePerKey whether a call runs at most once for one value of its Idempotency-Key header
 */
public record RoutingRule(
    RuleName name,
    Labels labels,
    int priority,
    Optional<String> host,
    String pathPrefix,
    Set<String> methods,
    ServiceName service,
    Optional<Boolean> idempotent,
    boolean oncePerKey)
    implements ConfigObject {
  /** Copies the methods. */
  public RoutingRule {
    methods = Set.copyOf(methods);
  }

  @Override
  public ObjectKey key() {
    return new ObjectKey(ObjectKind.ROUTING_RULE, name.value());
  }
}
