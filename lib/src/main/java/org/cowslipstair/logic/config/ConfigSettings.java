package org.cowslipstair.logic.config;

import java.util.concurrent.TimeUnit;

/**
 * Settings for the exchange of configuration between peers.
 *
 * @param requestDelayNs how long a gateway that is behind waits for its own watch before it sends a
 *     request to a peer
 * @param requestIntervalNs minimum time between two requests
 * @param compareIntervalNs minimum time between two requests caused by different digests
 * @param adoptionWindowNs time after the first list during which a new gateway adopts the store of
 *     its peers if it differs from its own
 * @param maxPartBytes maximum total length of the objects in one message
 */
public record ConfigSettings(
    long requestDelayNs,
    long requestIntervalNs,
    long compareIntervalNs,
    long adoptionWindowNs,
    int maxPartBytes) {
  private static final int DEFAULT_MAX_PART_BYTES = 128 * 1024;

  /** Returns the default settings. */
  public static ConfigSettings defaults() {
    return new ConfigSettings(
        TimeUnit.MILLISECONDS.toNanos(200),
        TimeUnit.MILLISECONDS.toNanos(500),
        TimeUnit.SECONDS.toNanos(2),
        TimeUnit.SECONDS.toNanos(3),
        DEFAULT_MAX_PART_BYTES);
  }
}
