package org.cowslipstair.model.traffic;

import java.util.Optional;
import org.cowslipstair.model.config.BackendName;
import org.cowslipstair.model.config.HostPort;
import org.cowslipstair.model.config.ServiceName;
import org.cowslipstair.model.config.ZoneName;
import org.cowslipstair.model.rollout.ServiceVersion;

/**
 * One process of a backend server, as last reported.
 *
 * @param name instance ID, which the process confirms in each response
 * @param slots number of requests that it can execute concurrently
 * @param leaving whether it accepts no new requests
 * @param coldUntilNs monotonic time until which it reported to be cold; in the past if it is warm
 * @param startedUnixMs start time by the clock of the process, which distinguishes processes with
 *     the same name; 0 if not reported
 * @param sequence number of the report by this process
 * @param version version of its software; empty if not reported
 */
public record BackendInstance(
    BackendName name,
    ServiceName service,
    HostPort address,
    ZoneName zone,
    int slots,
    boolean leaving,
    long coldUntilNs,
    long startedUnixMs,
    long sequence,
    Optional<ServiceVersion> version) {
  /** Validates the number of slots. */
  public BackendInstance {
    if (slots <= 0) {
      throw new IllegalArgumentException(
          "backend server \"%s\" with %d slots".formatted(name, slots));
    }
  }

  /** Creates an instance that does not report the version of its software. */
  public BackendInstance(
      BackendName name,
      ServiceName service,
      HostPort address,
      ZoneName zone,
      int slots,
      boolean leaving,
      long coldUntilNs,
      long startedUnixMs,
      long sequence) {
    this(
        name,
        service,
        address,
        zone,
        slots,
        leaving,
        coldUntilNs,
        startedUnixMs,
        sequence,
        Optional.empty());
  }

  /** Returns the process that reported. */
  public BackendProcess process() {
    return new BackendProcess(name, startedUnixMs);
  }

  /** Returns whether both are the same process at the same address. */
  public boolean isSameProcess(BackendInstance other) {
    return name.equals(other.name)
        && startedUnixMs == other.startedUnixMs
        && address.equals(other.address);
  }

  /** Returns this process, leaving or cold if the other report says so. */
  public BackendInstance restrictedBy(BackendInstance other) {
    return new BackendInstance(
        name,
        service,
        address,
        zone,
        slots,
        leaving || other.leaving,
        Math.max(coldUntilNs, other.coldUntilNs),
        startedUnixMs,
        sequence,
        version);
  }

  /**
   * Returns whether this report is older than another one with the same name; false if the start
   * time of either process is unknown.
   */
  public boolean isOlderThan(BackendInstance other) {
    if (startedUnixMs == 0 || other.startedUnixMs == 0) {
      return false;
    }
    return startedUnixMs < other.startedUnixMs
        || startedUnixMs == other.startedUnixMs && sequence < other.sequence;
  }
}
