package org.cowslipstair.model.config;

/**
 * A service: a set of backend servers that answer the same calls.
 *
 * @param backends selects the backend servers by label
 * @param zones selects the zones by label
 * @param policy how a backend server is chosen for a call
 * @param timeoutMs longest time that a call may take, in milliseconds
 * @param probesPerSecond most probes that one backend server may get from all gateways
 * @param hedging whether idempotent calls may be hedged
 */
public record Service(
    ServiceName name,
    Labels labels,
    Selector backends,
    Selector zones,
    PolicyKind policy,
    long timeoutMs,
    double probesPerSecond,
    boolean hedging)
    implements ConfigObject {
  @Override
  public ObjectKey key() {
    return new ObjectKey(ObjectKind.SERVICE, name.value());
  }
}
