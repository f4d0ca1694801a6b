package org.cowslipstair.model.traffic;

import org.cowslipstair.model.config.BackendName;
import org.cowslipstair.model.config.HostPort;
import org.cowslipstair.model.config.ServiceName;
import org.cowslipstair.model.config.ZoneName;

/**
 * One process life of a backend server.
 *
 * @param name identity that the process confirms for each request
 * @param slots requests that it runs at once
 * @param leaving whether it takes no new requests
 * @param coldUntilNs monotonic time until which it said to be cold; in the past if it is warm
 * @param bornUnixMs start of the process by its own clock, to tell two lives of one name apart; 0
 *     if it does not say
 * @param sequence number of the report within one life
 */
public record BackendInstance(
    BackendName name,
    ServiceName service,
    HostPort address,
    ZoneName zone,
    int slots,
    boolean leaving,
    long coldUntilNs,
    long bornUnixMs,
    long sequence) {
  /** Returns whether both are the same process life at the same address. */
  public boolean isSameLife(BackendInstance other) {
    return name.equals(other.name)
        && bornUnixMs == other.bornUnixMs
        && address.equals(other.address);
  }

  /** Returns whether this report was made before another of the same name. */
  public boolean isOlderThan(BackendInstance other) {
    if (bornUnixMs == 0 || other.bornUnixMs == 0) {
      return false;
    }
    return bornUnixMs < other.bornUnixMs
        || bornUnixMs == other.bornUnixMs && sequence < other.sequence;
  }
}
