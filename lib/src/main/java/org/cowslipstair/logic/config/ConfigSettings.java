package org.cowslipstair.logic.config;

import java.util.concurrent.TimeUnit;

/**
 * Times of the exchange of configuration between peers.
 *
 * @param requestDelayNs time that a gateway waits for its own watch before it asks a peer
 * @param requestIntervalNs shortest time between two requests
 * @param compareIntervalNs shortest time between two requests because of differing digests
 * @param settleNs time after which a new gateway holds its store against its peers'
 * @param maxPartBytes size of the objects in one message
 */
public record ConfigSettings(
    long requestDelayNs,
    long requestIntervalNs,
    long compareIntervalNs,
    long settleNs,
    int maxPartBytes) {
  private static final int DEFAULT_PART_BYTES = 128 * 1024;

  /** Returns the default times. */
  public static ConfigSettings defaults() {
    return new ConfigSettings(
        TimeUnit.MILLISECONDS.toNanos(200),
        TimeUnit.MILLISECONDS.toNanos(500),
        TimeUnit.SECONDS.toNanos(2),
        TimeUnit.SECONDS.toNanos(3),
        DEFAULT_PART_BYTES);
  }
}
