package org.cowslipstair.model.config;

/**
 * A service: a set of backend servers that can handle the same calls.
 *
 * @param backends selects the backend servers by label
 * @param zones selects the zones by label
 * @param policy policy for selecting a backend server for a call
 * @param timeoutMs maximum duration of a call in milliseconds
 * @param probesPerSecond maximum rate of probes to one backend server from all gateways together
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
