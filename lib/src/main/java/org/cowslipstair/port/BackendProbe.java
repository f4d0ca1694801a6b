package org.cowslipstair.port;

import java.util.Optional;
import org.cowslipstair.model.config.BackendServer;

/** Reads the health and load endpoints of backend servers. */
public interface BackendProbe {
  /** Probes a backend server; empty if it did not answer in time. */
  Optional<ProbeReport> probe(BackendServer backend, long timeoutMs);

  /**
   * What a backend server says of itself; may be stale or wrong.
   *
   * @param health state that the backend server reports
   * @param inFlight calls that it runs or queues
   * @param slots calls that it says it can run at once
   * @param latencyNs recent service time that it reports
   */
  record ProbeReport(Health health, int inFlight, int slots, long latencyNs) {}

  /** Health that a backend server reports. */
  enum Health {
    WARM,
    COLD,
    DRAINING,
    SHEDDING
  }
}
