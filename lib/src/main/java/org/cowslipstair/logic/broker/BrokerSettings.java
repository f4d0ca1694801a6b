package org.cowslipstair.logic.broker;

/**
 * Settings of a broker.
 *
 * @param queueCapacity maximum number of acquires that wait for a slot
 * @param reuseNs time that a lease lasts beyond the deadline of the call it was granted for, so
 *     that the holder can use it for further calls
 * @param cancelGraceNs time for which a backend server may continue to run a cancelled call
 * @param heldRetryNs interval between requests to a gateway to report the leases that it holds
 * @param recallIntervalNs minimum interval between recalls
 * @param rememberLostNs time for which a lost gateway still owns its share of cold backend servers
 */
public record BrokerSettings(
    int queueCapacity,
    long reuseNs,
    long cancelGraceNs,
    long heldRetryNs,
    long recallIntervalNs,
    long rememberLostNs) {
  private static final BrokerSettings DEFAULTS =
      new BrokerSettings(
          1_000, 2_000_000_000L, 200_000_000L, 100_000_000L, 100_000_000L, 30_000_000_000L);

  /** Returns the default settings. */
  public static BrokerSettings defaults() {
    return DEFAULTS;
  }
}
