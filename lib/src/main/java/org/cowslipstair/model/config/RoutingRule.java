package org.cowslipstair.model.config;

import java.util.Optional;
import java.util.Set;

/**
 * Routes calls that match a host, path prefix and method to a service.
 *
 * @param priority rules with higher priority are evaluated first; among equal priorities, those
 *     with the longer path prefix
 * @param host value of the Host header without port; empty matches any
 * @param methods HTTP methods that match; empty matches any
 * @param idempotent whether calls are idempotent; empty if the HTTP method decides
 * @param oncePerKey whether calls with the same Idempotency-Key header are executed at most once
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
