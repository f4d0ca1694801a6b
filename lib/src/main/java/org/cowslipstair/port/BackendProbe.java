package org.cowslipstair.port;

import java.util.Optional;
import org.cowslipstair.model.config.BackendServer;

/** Reads the health and load endpoints of backend servers. */
public interface BackendProbe {
  /** Probes a backend server; empty if it did not respond in time. */
  Optional<ProbeReport> probe(BackendServer backend, long timeoutMs);

  /**
   * State reported by a backend server; may be stale or wrong.
   *
   * @param health reported health
   * @param inFlight number of calls being executed or queued
   * @param slots number of calls that it can execute concurrently
   * @param latencyNs recent service time
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
