package org.cowslipstair.logic.broker;

/**
 * Settings of a broker.
 *
 * @param queueCapacity most acquires that wait for a slot
 * @param reuseNs time that a lease lasts past the deadline of the call for which it was granted, so
 *     that the holder's next calls can use it
 * @param cancelGraceNs time for which a backend server may go on with a call that was cancelled
 * @param heldRetryNs time after which a gateway is asked again for the leases that it holds
 * @param recallIntervalNs least time between two recalls
 * @param rememberLostNs time for which a lost gateway keeps its share of cold backend servers
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

  /** Returns the defaults. */
  public static BrokerSettings defaults() {
    return DEFAULTS;
  }
}
